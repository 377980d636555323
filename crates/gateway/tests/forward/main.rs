//! Requests to scripted servers: the answers to callers and the calls to servers.

mod admission;
mod attempts;
mod config_changes;
mod prompt_parts;
mod resumed_streams;
mod silent_servers;
mod stopping_node;
mod streams;
mod test_site;
mod whole_answers;

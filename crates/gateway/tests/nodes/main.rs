//! Several nodes of one deployment, on virtual time.

mod admission;
mod cold_servers;
mod config_attestation;
mod crashing_parts;
mod evacuation;
mod fleet_lease;
mod fleet_view;
mod leaving_servers;
mod long_entries;
mod lost_paths;
mod model_fleet;
mod odd_datagrams;
mod plain_service;
mod rate_limits;
mod refusing_servers;
mod restarts;
mod restored_store;
mod retry_budget;
mod rolling_stops;
mod test_nodes;
mod wait_check;
mod waiting_servers;
mod waiting_site;

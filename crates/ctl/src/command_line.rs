//! The grammar of the command line.

use std::{net::SocketAddr, path::PathBuf};

use comfreyturn_standin::LoadShape;

use crate::{DrainKind, EntityKind};

xflags::xflags! {
    /// Operates comfreyturn.
    cmd comfreyturnctl {
        /// Address of a node: its operators' address, or its callers' address for `load`.
        optional --to address: SocketAddr
        /// Print one line of JSON instead of text.
        optional --json

        /// Declare what a YAML file says. What the file does not name stays as it is.
        cmd apply {
            /// The file.
            required -f, --file file: PathBuf
            /// Name of the operation; the same name again gives the first result.
            optional --operation-id id: String
        }
        /// Create something that does not exist yet.
        cmd create {
            /// service, model-version, adapter or customer.
            required kind: EntityKind
            /// Its name; for a model version the model's.
            required name: String
            /// The version, for a model version.
            optional version: String
            /// Model of a service or an adapter.
            optional --model model: String
            /// Model version of a service.
            optional --model-version version: String
            /// Adapter of a service; may be repeated.
            repeated --adapter adapter: String
            /// Whole groups that a service should hold.
            optional --groups count: u32
            /// Services with a lower rank keep their groups first.
            optional --rank rank: u32
            /// The service is plain.
            optional --plain
            /// VMs that one group of a model version spans.
            optional --vms-per-group count: u32
            /// Size of the weights that one VM loads, in bytes.
            optional --weight-bytes bytes: u64
            /// Key of a customer.
            optional --key key: String
            /// Share of a customer, relative to others.
            optional --weight weight: u32
            /// Limit of a customer.
            optional --requests-per-second count: u32
            /// Limit of a customer.
            optional --tokens-per-second count: u32
            /// Service that a customer may use; may be repeated; without it, all.
            repeated --service service: String
            /// Deadline of a customer's requests that state none, in milliseconds.
            optional --deadline-ms millis: u64
        }
        /// Change something that exists. What is not given stays as it is.
        cmd set {
            /// service, model-version, adapter or customer.
            required kind: EntityKind
            /// Its name; for a model version the model's.
            required name: String
            /// The version, for a model version.
            optional version: String
            /// Model of a service or an adapter.
            optional --model model: String
            /// Model version of a service.
            optional --model-version version: String
            /// Adapter of a service; may be repeated.
            repeated --adapter adapter: String
            /// Whole groups that a service should hold.
            optional --groups count: u32
            /// Services with a lower rank keep their groups first.
            optional --rank rank: u32
            /// The service is plain.
            optional --plain
            /// VMs that one group of a model version spans.
            optional --vms-per-group count: u32
            /// Size of the weights that one VM loads, in bytes.
            optional --weight-bytes bytes: u64
            /// Key of a customer.
            optional --key key: String
            /// Share of a customer, relative to others.
            optional --weight weight: u32
            /// Limit of a customer.
            optional --requests-per-second count: u32
            /// Limit of a customer.
            optional --tokens-per-second count: u32
            /// Service that a customer may use; may be repeated.
            repeated --service service: String
            /// Deadline of a customer's requests that state none, in milliseconds.
            optional --deadline-ms millis: u64
        }
        /// Delete something that nothing refers to.
        cmd delete {
            /// service, model-version, adapter or customer.
            required kind: EntityKind
            /// Its name; for a model version the model's.
            required name: String
            /// The version, for a model version.
            optional version: String
        }
        /// List what is declared.
        cmd list {
            /// service, model-version, adapter or customer; without it, everything.
            optional kind: EntityKind
        }
        /// Declare how many whole groups a service should hold.
        cmd groups {
            /// The service.
            required service: String
            /// The number.
            required count: u32
        }
        /// Show nodes, groups and VMs as one node sees them.
        cmd status {}
        /// Take a node or VM out of use gracefully.
        cmd drain {
            /// node or vm.
            required kind: DrainKind
            /// Its name.
            required name: String
            /// Take it back into use.
            optional --undo
        }
        /// Follow a configuration version until it is in force on every node.
        cmd watch {
            /// The version.
            required version: u64
        }
        /// Say that a node is gone for good, so that nobody waits for it.
        cmd confirm-gone {
            /// The node.
            required node: String
        }
        /// Run a stand-in as a process of its own.
        cmd standin {
            /// The platform: table service, list of VMs and weight store.
            cmd platform {
                /// Where to listen; port 0 picks one.
                required --listen address: SocketAddr
                /// How far the list of VMs lags, in milliseconds.
                optional --list-lag-ms millis: u64
                /// Rate of the weight store; 0 means no limit.
                optional --weight-bytes-per-second bytes: u64
            }
            /// A model engine on one VM.
            cmd engine {
                /// Where to listen; port 0 picks one.
                required --listen address: SocketAddr
                /// The platform's address.
                required --platform address: SocketAddr
                /// Name of the VM.
                required --vm name: String
                /// Its fabric domain.
                required --fabric name: String
                /// Its failure domain.
                required --failure-domain name: String
                /// Accelerators on the VM.
                optional --accelerators count: u32
                /// Take orders with old fencing numbers.
                optional --ignore-fencing
                /// Output rate of each stream.
                optional --tokens-per-second rate: f64
                /// Streams that run at once.
                optional --batch-capacity count: u32
                /// Streams that wait at most.
                optional --queue-capacity count: u32
                /// Size of the weights, in bytes.
                optional --weight-bytes bytes: u64
                /// Crash when a prompt contains this.
                optional --crash-marker text: String
            }
            /// A plain service on one VM.
            cmd plain {
                /// Where to listen; port 0 picks one.
                required --listen address: SocketAddr
                /// The platform's address.
                required --platform address: SocketAddr
                /// Name of the VM.
                required --vm name: String
                /// The service.
                required --service name: String
                /// Its fabric domain.
                optional --fabric name: String
                /// Its failure domain.
                optional --failure-domain name: String
                /// Time that each request takes, in milliseconds.
                optional --delay-ms millis: u64
                /// Crash when a body contains this.
                optional --crash-marker text: String
            }
        }
        /// Run platform, engines, a plain service and nodes in this process, with a sample
        /// configuration.
        cmd lab {
            /// Number of nodes.
            optional --nodes count: u32
            /// End after this time.
            optional --seconds seconds: u64
        }
        /// Tell what became of requests, from the log lines of nodes: of one request, of a time
        /// span, or a summary of all that were not served.
        cmd explain {
            /// Files with log lines of one node or several; without one, standard input.
            repeated files: PathBuf
            /// The request.
            optional --request id: String
            /// Lines from here on, in seconds as printed.
            optional --since seconds: f64
            /// Lines up to here, in seconds as printed.
            optional --until seconds: f64
            /// Draws the summary into this file.
            optional --svg file: PathBuf
        }
        /// Send completions and report how they were answered.
        cmd load {
            /// The service.
            required --service service: String
            /// The customer's key.
            required --key key: String
            /// Requests to send.
            required --requests count: u32
            /// Requests in progress at once at most.
            required --concurrency count: u32
            /// Length of the prompts.
            optional --prompt-tokens count: u32
            /// Length of the answers.
            optional --output-tokens count: u32
            /// steady, or doors: everyone at once.
            optional --shape shape: LoadShape
            /// Requests a second, over the whole of the load.
            optional --requests-per-second rate: f64
            /// Draws arrival times and prompts.
            optional --seed seed: u64
        }
    }
}

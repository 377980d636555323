//! Names, as shared strings that are cheap to clone.

use std::sync::Arc;

/// Declares a name: a newtype over a shared immutable string.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Debug,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            serde::Serialize,
            serde::Deserialize,
            derive_more::Display,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[inline]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }
    };
}

name_type! {
    /// A cell: the scope of one roster, one configuration log and one set of leases.
    CellName
}
name_type! {
    /// The process of this system on an entry VM; the same after a restart.
    NodeId
}
name_type! {
    /// A VM, as named by the platform.
    VmId
}
name_type! {
    /// A set of VMs that together run one replica of a model.
    GroupId
}
name_type! {
    /// A service that callers address.
    ServiceName
}
name_type! {
    /// A model, whatever its version.
    ModelName
}
name_type! {
    /// One version of a model.
    ModelVersionName
}
name_type! {
    /// An adapter that is loaded in addition to a model version.
    AdapterName
}
name_type! {
    /// A customer: the unit of authentication, limits and accounting.
    CustomerName
}
name_type! {
    /// A scope that fails as a whole, such as a power supply, a network or a building.
    FailureDomain
}
name_type! {
    /// The scope within which VMs share a fast interconnect.
    FabricDomain
}
name_type! {
    /// The scope of a lease.
    LeaseScope
}
name_type! {
    /// One operation, as named by whoever requests it. Unique within a cell.
    OperationId
}
name_type! {
    /// A stream at a backend server; used to resume or cancel it.
    StreamId
}
name_type! {
    /// A request, as named in logs and responses.
    RequestId
}
name_type! {
    /// The caller's key for a request that must run at most once.
    IdempotencyKey
}
name_type! {
    /// A host, as named in the requests of callers.
    HostName
}
name_type! {
    /// A route, as named by operators.
    RouteName
}

//! Names, as cheap shared strings.

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
    /// The scope of one roster, one configuration log and one set of leases.
    CellName
}
name_type! {
    /// An entry VM's process of this system, stable over restarts.
    NodeId
}
name_type! {
    /// A VM as the platform names it.
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
    /// An adapter that is loaded beside a model version.
    AdapterName
}
name_type! {
    /// A customer: whoever is authenticated, limited and accounted as one.
    CustomerName
}
name_type! {
    /// The scope that fails as one: power, network, building.
    FailureDomain
}
name_type! {
    /// The scope within which VMs share a fast interconnect.
    FabricDomain
}
name_type! {
    /// What a lease covers.
    LeaseScope
}
name_type! {
    /// The caller's choice of name for one operation, unique within a cell.
    OperationId
}
name_type! {
    /// A stream at a backend server; the key to resume or cancel it.
    StreamId
}
name_type! {
    /// A request as this system names it in logs and answers.
    RequestId
}
name_type! {
    /// The caller's key for a request that must run at most once.
    IdempotencyKey
}
name_type! {
    /// A host that callers name in their requests.
    HostName
}
name_type! {
    /// A route, as operators name it.
    RouteName
}

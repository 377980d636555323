//! Verbs that call the operator service of a node.

mod apply_operation;
mod declared_view;
mod operator_session;
mod rollout_view;
mod status_view;

pub(crate) use apply_operation::*;
pub(crate) use declared_view::*;
pub(crate) use operator_session::*;
pub(crate) use rollout_view::*;
pub(crate) use status_view::*;

//! Verbs over the operators' remote procedure calls.

mod apply_flow;
mod declared_view;
mod operator_session;
mod rollout_view;
mod status_view;

pub(crate) use apply_flow::*;
pub(crate) use declared_view::*;
pub(crate) use operator_session::*;
pub(crate) use rollout_view::*;
pub(crate) use status_view::*;

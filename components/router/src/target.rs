//! Who asks for what, as the configuration in force says.

use std::sync::Arc;

use edge::Metadata;
use errors::Kind;
use ntex::web::HttpRequest;

use crate::core::Core;
use crate::headers;

/// Who asks for what.
pub(crate) struct Target {
    pub workspace: Arc<str>,
    /// Whether the caller has no workspace of its own.
    pub anonymous: bool,
    pub kind: Arc<str>,
    /// Whether the answer is a stream of events.
    pub events: bool,
    /// Of concern to streams only, and only if the configuration names it.
    pub model: Option<Arc<str>>,
}

impl Target {
    /// Looks a request up in the configuration in force.
    ///
    /// # Errors
    ///
    /// The refusal; a configuration that may be out of date does not show that
    /// something is unknown.
    pub(crate) fn find(
        core: &Core,
        request: &HttpRequest,
        intake: &Metadata,
    ) -> Result<Self, Kind> {
        let plan = core.plan().ok_or(Kind::NoConfiguration)?;
        let unknown = |kind| if core.knows_all() { kind } else { Kind::StaleConfiguration };
        let host = host(request);
        let kind = plan.locate(&host, request.path()).ok_or(Kind::NotFound).map_err(unknown)?;
        let holder = intake.key.as_deref().and_then(|key| plan.holder(key));
        let caller = match holder {
            Some(workspace) => Some(workspace),
            None if kind.anonymous => plan.anonymous(),
            None => None,
        };
        let workspace = caller.ok_or(Kind::Unauthorized).map_err(unknown)?;
        let model = intake.model.clone().filter(|it| kind.events && plan.offers(it));
        Ok(Self {
            workspace: workspace.clone(),
            anonymous: holder.is_none(),
            kind: kind.name.clone(),
            events: kind.events,
            model,
        })
    }
}

/// The host that the caller asked for, without a port.
fn host(request: &HttpRequest) -> String {
    let header = headers::text(request.headers(), "host");
    let host = header.or_else(|| request.uri().host()).unwrap_or("");
    host.split(':').next().unwrap_or("").to_ascii_lowercase()
}

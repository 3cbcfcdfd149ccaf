//! Resolves a request's workspace, kind and model by the configuration in force.

use std::sync::Arc;

use edge::Metadata;
use errors::Kind;
use ntex::web::HttpRequest;

use crate::core::Core;
use crate::headers;

/// The workspace, kind and model of a request.
pub(crate) struct Target {
    pub workspace: Arc<str>,
    /// Whether the caller has no workspace of its own.
    pub anonymous: bool,
    pub kind: Arc<str>,
    /// Whether the response is a stream of events.
    pub events: bool,
    /// Set for streams only, and only if the configuration names the model.
    pub model: Option<Arc<str>>,
}

impl Target {
    /// Looks up a request in the configuration in force.
    ///
    /// # Errors
    ///
    /// The refusal. An outdated configuration does not prove that a name is unknown.
    pub(crate) fn find(
        core: &Core,
        request: &HttpRequest,
        metadata: &Metadata,
    ) -> Result<Self, Kind> {
        let plan = core.plan().ok_or(Kind::NoConfiguration)?;
        let unless_stale =
            |kind| if core.is_authoritative() { kind } else { Kind::StaleConfiguration };
        let host = requested_host(request);
        let kind =
            plan.match_path(&host, request.path()).ok_or(Kind::NotFound).map_err(unless_stale)?;
        let key = metadata.key.as_deref().filter(|_| !plan.document().ignores_keys);
        // A key that names no workspace may have been revoked, also where none is needed.
        let caller = match key {
            Some(key) => plan.workspace_by_key(key),
            None if kind.anonymous => plan.anonymous_workspace(),
            None => None,
        };
        let workspace = caller.ok_or(Kind::Unauthorized).map_err(unless_stale)?;
        let model = metadata.model.clone().filter(|model| kind.events && plan.has_model(model));
        Ok(Self {
            workspace: workspace.clone(),
            anonymous: key.is_none(),
            kind: kind.name.clone(),
            events: kind.events,
            model,
        })
    }
}

/// The requested host without its port.
fn requested_host(request: &HttpRequest) -> String {
    let header = headers::text(request.headers(), "host");
    let host = header.or_else(|| request.uri().host()).unwrap_or("");
    host.split(':').next().unwrap_or("").to_ascii_lowercase()
}

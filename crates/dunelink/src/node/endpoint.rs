//! The GraphQL endpoint of a node, if it has one: where it is, and what its documents are read by.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use ::http::request::Parts;
use dunelink_graphql::Reader;

use crate::config::{Class, Config, ConfigError, GraphQl};
use crate::intake::ext;

/// The endpoint, if a node has one.
pub(super) struct Endpoint {
    /// For reading the manifest anew.
    pub(super) settings: GraphQl,
    classes: Vec<Class>,
    /// The longest that any client waits there.
    pub(super) longest: Duration,
    reader: RwLock<Arc<Reader>>,
}

impl Endpoint {
    pub(super) fn new(config: &Config) -> Result<Option<Endpoint>, ConfigError> {
        let Some(settings) = config.graphql.clone() else { return Ok(None) };
        let reader = RwLock::new(Arc::new(settings.reader(&config.classes)?));
        Ok(Some(Endpoint {
            settings,
            classes: config.classes.clone(),
            longest: config.max_deadline(),
            reader,
        }))
    }

    pub(super) fn reader(&self) -> Arc<Reader> {
        self.reader.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether a request is for it. One whose host has found its class goes by that.
    pub(super) fn is_at(&self, head: &Parts) -> bool {
        head.uri.path() == self.settings.path && head.extensions.get::<ext::Class>().is_none()
    }

    /// Reads the manifest anew; tells how many documents it has. A wrong one changes nothing.
    pub(super) fn reread(&self) -> Result<usize, ConfigError> {
        let reader = Arc::new(self.settings.reader(&self.classes)?);
        let count = reader.documents.len();
        *self.reader.write().unwrap_or_else(PoisonError::into_inner) = reader;
        Ok(count)
    }
}

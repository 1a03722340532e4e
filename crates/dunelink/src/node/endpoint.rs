//! The GraphQL endpoint of a node: its path, and the rules by which its documents are read.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use ::http::request::Parts;
use dunelink_graphql::RequestReader;

use crate::config::{Class, Config, ConfigError, GraphQl};
use crate::intake::ext;

/// The endpoint, if a node has one.
pub(super) struct Endpoint {
    /// The settings, from which the manifest can be reloaded.
    pub(super) settings: GraphQl,
    classes: Vec<Class>,
    /// The longest time that any client waits there.
    pub(super) longest_timeout: Duration,
    reader: RwLock<Arc<RequestReader>>,
}

impl Endpoint {
    pub(super) fn new(config: &Config) -> Result<Option<Endpoint>, ConfigError> {
        let Some(settings) = config.graphql.clone() else { return Ok(None) };
        let reader = RwLock::new(Arc::new(settings.reader(&config.classes)?));
        Ok(Some(Endpoint {
            settings,
            classes: config.classes.clone(),
            longest_timeout: config.max_deadline(),
            reader,
        }))
    }

    pub(super) fn reader(&self) -> Arc<RequestReader> {
        self.reader.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether a request is for the endpoint. A request whose class the host has set is not.
    pub(super) fn matches(&self, head: &Parts) -> bool {
        head.uri.path() == self.settings.path && head.extensions.get::<ext::Class>().is_none()
    }

    /// Reloads the manifest and returns its number of documents. On an error, the old one stays in use.
    pub(super) fn reload(&self) -> Result<usize, ConfigError> {
        let reader = Arc::new(self.settings.reader(&self.classes)?);
        let count = reader.manifest.len();
        *self.reader.write().unwrap_or_else(PoisonError::into_inner) = reader;
        Ok(count)
    }
}

//! Configurations of the operator, put together piece by piece.

use serde_json::{Value, json};

/// A route.
#[derive(Clone, Debug)]
pub struct Route {
    value: Value,
}

impl Route {
    /// A route of this kind (`safe`, `unsafe` or `streaming`) to a service, for requests with a key.
    pub fn new(host: &str, prefix: &str, kind: &str, service: &str) -> Route {
        let name = format!("r{}", prefix.replace('/', "-"));
        let value = json!({
            "name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000,
            "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": 2, "public": false,
        });
        Route { value }
    }

    /// A streaming route whose streams may be taken up at another server, or may not.
    pub fn streaming(host: &str, prefix: &str, service: &str, resumable: bool) -> Route {
        Route::new(host, prefix, "streaming", service)
            .with("sticky", json!(true))
            .with("resumable", json!(resumable))
            .with("gap_aim_ms", json!(600))
    }

    /// The same with another value of a key.
    pub fn with(mut self, key: &str, value: Value) -> Route {
        self.value[key] = value;
        self
    }

    /// The same, split by weights in place of one service.
    pub fn split(mut self, weights: &[(&str, u32)]) -> Route {
        self.value.as_object_mut().expect("an object").remove("service");
        let parts = weights.iter().map(|(service, weight)| json!({"service": service, "weight": weight}));
        self.value["trafficSplit"] = parts.collect();
        self
    }
}

/// A whole configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    value: Value,
}

impl Configuration {
    /// One without routes, services and tenants.
    pub fn new(version: u64) -> Configuration {
        let value = json!({
            "version": version, "routes": [], "services": [],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000},
            "tenants": [],
        });
        Configuration { value }
    }

    fn push(mut self, list: &str, item: Value) -> Configuration {
        self.value[list].as_array_mut().expect("a list").push(item);
        self
    }

    /// The same with another version.
    pub fn version(mut self, version: u64) -> Configuration {
        self.value["version"] = json!(version);
        self
    }

    /// The same with one more route.
    pub fn route(self, route: Route) -> Configuration {
        self.push("routes", route.value)
    }

    /// The same without the routes of this prefix.
    pub fn without_route(mut self, prefix: &str) -> Configuration {
        let routes = self.value["routes"].as_array_mut().expect("a list");
        routes.retain(|route| route["pathPrefix"] != prefix);
        self
    }

    /// The same with one more service of ordinary servers.
    pub fn service(self, name: &str) -> Configuration {
        let service =
            json!({"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false});
        self.push("services", service)
    }

    /// The same with one more service of model servers.
    pub fn engine(self, name: &str) -> Configuration {
        let engine = json!({"slots": 64, "kvTokens": 432396, "kvTokenBytes": 18432, "linkMbps": 550000.0,
            "stride": 6, "models": [{"name": "m"}]});
        let service = json!({"name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1",
            "tls": false, "engine": engine});
        self.push("services", service)
    }

    /// The same with one more tenant, whose rate is in tokens a second.
    pub fn tenant(self, name: &str, keys: &[&str], rate_per_s: u64) -> Configuration {
        let tenant = json!({"name": name, "apiKeys": keys, "priority": 1, "unit": "token_stream",
            "plainTokens": 200, "ratePerS": rate_per_s, "burst": rate_per_s});
        self.push("tenants", tenant)
    }

    /// The same without a tenant.
    pub fn without_tenant(mut self, name: &str) -> Configuration {
        let tenants = self.value["tenants"].as_array_mut().expect("a list");
        tenants.retain(|tenant| tenant["name"] != name);
        self
    }

    /// The same with another value of a key at the top.
    pub fn with(mut self, key: &str, value: Value) -> Configuration {
        self.value[key] = value;
        self
    }

    /// As it is sent.
    pub fn value(&self) -> &Value {
        &self.value
    }
}

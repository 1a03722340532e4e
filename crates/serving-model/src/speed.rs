//! Estimated speed of the servers of a service, learned from their responses.

/// Prefill speed before any response, in prompt tokens per millisecond.
const INITIAL_PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Minimum and maximum of the estimated prefill speed, in tokens per millisecond.
const PREFILL_RANGE_TOKENS_PER_MS: (f64, f64) = (2.0, 500.0);
/// Weight of one response in an estimate.
const LEARNING_STEP: f64 = 0.05;
/// Weight of a slow response in the estimated prefill speed. The estimate is the speed of an unloaded server;
/// the delay that load adds is part of that server's relative latency.
const SLOW_PREFILL_STEP: f64 = 0.003;
/// Time to the first token that does not depend on the prompt, before any response; in milliseconds.
const INITIAL_FIXED_MS: f64 = 15.0;
/// Maximum estimate of that time, in milliseconds.
const MAX_FIXED_MS: f64 = 200.0;
/// A prefill of fewer tokens says nothing about the prefill speed, but only about the fixed time.
const MIN_PREFILL_TOKENS: f64 = 1_000.0;
/// Service time of a whole request before any response, in milliseconds.
const INITIAL_SERVICE_TIME_MS: f64 = 30.0;
/// Minimum and maximum service time that an estimate learns from, in milliseconds.
const SERVICE_TIME_RANGE_MS: (f64, f64) = (0.5, 60_000.0);

/// Estimated speed of a service's servers. The deviation of a single server is part of that server's relative
/// latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    /// Prefill speed in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time to the first token that does not depend on the prompt, in milliseconds.
    pub fixed_ms: f64,
    /// Time from sending a request to its end, in milliseconds.
    pub service_time_ms: f64,
    response_count: f64,
}

impl Default for SpeedEstimate {
    fn default() -> SpeedEstimate {
        SpeedEstimate {
            prefill_tokens_per_ms: INITIAL_PREFILL_TOKENS_PER_MS,
            fixed_ms: INITIAL_FIXED_MS,
            service_time_ms: INITIAL_SERVICE_TIME_MS,
            response_count: 0.0,
        }
    }
}

impl SpeedEstimate {
    /// Time to process that many prompt tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_tokens_per_ms
    }

    /// Time to the first token if that many prompt tokens are to be processed, in milliseconds.
    pub fn first_token_ms(&self, tokens: f64) -> f64 {
        self.fixed_ms + self.prefill_ms(tokens)
    }

    /// Learns from a first token that arrived `elapsed_ms` after sending, with `tokens` prompt tokens to
    /// process before it.
    pub fn observe_first_token(&mut self, tokens: f64, elapsed_ms: f64) {
        if tokens < MIN_PREFILL_TOKENS {
            let fixed_ms = (elapsed_ms - self.prefill_ms(tokens)).clamp(0.0, MAX_FIXED_MS);
            self.fixed_ms += (fixed_ms - self.fixed_ms) * LEARNING_STEP;
            return;
        }
        let prefill_ms = (elapsed_ms - self.fixed_ms).max(tokens / PREFILL_RANGE_TOKENS_PER_MS.1);
        // A slow response may have waited for other requests, so it says far less than a quick one.
        let observed =
            (tokens / prefill_ms).clamp(self.prefill_tokens_per_ms / 2.0, self.prefill_tokens_per_ms * 2.0);
        let step = if observed > self.prefill_tokens_per_ms { LEARNING_STEP } else { SLOW_PREFILL_STEP };
        let updated = self.prefill_tokens_per_ms + (observed - self.prefill_tokens_per_ms) * step;
        self.prefill_tokens_per_ms =
            updated.clamp(PREFILL_RANGE_TOKENS_PER_MS.0, PREFILL_RANGE_TOKENS_PER_MS.1);
    }

    /// Learns from a request that took `elapsed_ms` in total.
    pub fn observe_service_time(&mut self, elapsed_ms: f64) {
        self.response_count += 1.0;
        let observed = elapsed_ms.clamp(SERVICE_TIME_RANGE_MS.0, SERVICE_TIME_RANGE_MS.1);
        // The first responses replace the initial guess.
        self.service_time_ms +=
            (observed - self.service_time_ms) * LEARNING_STEP.max(1.0 / self.response_count);
    }
}

//! How fast the servers of a service are, learned from their answers.

/// Prompt tokens a millisecond that a server is taken to read before anything is known.
const PREFILL_START: f64 = 50.0;
/// The slowest and the fastest reading that is believed, tokens a millisecond.
const PREFILL_RANGE: (f64, f64) = (2.0, 500.0);
/// How far one answer moves what is believed.
const STEP: f64 = 0.05;
/// How far a slow answer moves what is believed of reading: the speed is that of a free server, and what a loaded
/// one takes longer is kept with that server.
const SLOWER_STEP: f64 = 0.003;
/// Milliseconds from sending to the first token that no prompt causes, before anything is known.
const FIXED_START: f64 = 15.0;
/// The longest such time that is believed.
const FIXED_MOST: f64 = 200.0;
/// Fewer tokens than this say nothing of the speed of reading, but of the fixed part.
const LEAST_PREFILL: f64 = 1_000.0;
/// Milliseconds of a whole request before anything is known.
const WORK_START: f64 = 30.0;
/// The shortest and the longest whole request that is believed, milliseconds.
const WORK_RANGE: (f64, f64) = (0.5, 60_000.0);

/// What is believed of the speed of a service's servers. What makes one of them slower or faster than the others is
/// kept with that server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    /// Prompt tokens read a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds to the first token that no prompt causes.
    pub fixed_ms: f64,
    /// Milliseconds of a whole request, from sending to its end.
    pub service_time_ms: f64,
    answers: f64,
}

impl Default for SpeedEstimate {
    fn default() -> SpeedEstimate {
        SpeedEstimate {
            prefill_tokens_per_ms: PREFILL_START,
            fixed_ms: FIXED_START,
            service_time_ms: WORK_START,
            answers: 0.0,
        }
    }
}

impl SpeedEstimate {
    /// Milliseconds for reading that many tokens.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_tokens_per_ms
    }

    /// Milliseconds to a first token behind that many tokens to be read.
    pub fn first_token_ms(&self, tokens: f64) -> f64 {
        self.fixed_ms + self.prefill_ms(tokens)
    }

    /// Learns from a first token that came `took_ms` after sending, where `tokens` were to be read before it.
    pub fn observe_first_token(&mut self, tokens: f64, took_ms: f64) {
        if tokens < LEAST_PREFILL {
            let fixed = (took_ms - self.prefill_ms(tokens)).clamp(0.0, FIXED_MOST);
            self.fixed_ms += (fixed - self.fixed_ms) * STEP;
            return;
        }
        let reading = (took_ms - self.fixed_ms).max(tokens / PREFILL_RANGE.1);
        // A slow answer may have waited for others' work: it says far less than a quick one.
        let seen =
            (tokens / reading).clamp(self.prefill_tokens_per_ms / 2.0, self.prefill_tokens_per_ms * 2.0);
        let step = if seen > self.prefill_tokens_per_ms { STEP } else { SLOWER_STEP };
        let moved = self.prefill_tokens_per_ms + (seen - self.prefill_tokens_per_ms) * step;
        self.prefill_tokens_per_ms = moved.clamp(PREFILL_RANGE.0, PREFILL_RANGE.1);
    }

    /// Learns from a whole request that took so long.
    pub fn observe_service_time(&mut self, took_ms: f64) {
        self.answers += 1.0;
        let seen = took_ms.clamp(WORK_RANGE.0, WORK_RANGE.1);
        // The first answers replace what was only guessed.
        self.service_time_ms += (seen - self.service_time_ms) * STEP.max(1.0 / self.answers);
    }
}

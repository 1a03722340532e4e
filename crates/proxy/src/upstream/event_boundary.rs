//! Tracks whether an event stream is within an event.

/// The position within an event stream (`text/event-stream`, HTML standard, section 9.2.6). The stream may
/// arrive in pieces that are split anywhere; lines end with CR, LF or CRLF.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventBoundary {
    line: Line,
    /// Whether a field line was received since the last blank line.
    has_fields: bool,
    /// Whether the last byte was a CR, so that an LF belongs to the same line end.
    after_carriage_return: bool,
}

/// The part of the current line that was received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    /// Comments belong to no event.
    Comment,
    Field,
}

impl EventBoundary {
    /// Adds received data.
    pub fn push(&mut self, data: &[u8]) {
        for byte in data {
            self.push_byte(*byte);
        }
    }

    /// Whether a part of an event was received, but not the blank line that ends it.
    pub fn is_within_event(&self) -> bool {
        self.has_fields || self.line == Line::Field
    }

    fn push_byte(&mut self, byte: u8) {
        let continues_line_end = byte == b'\n' && self.after_carriage_return;
        self.after_carriage_return = byte == b'\r';
        match byte {
            b'\n' if continues_line_end => {}
            b'\n' | b'\r' => self.end_line(),
            b':' if self.line == Line::Empty => self.line = Line::Comment,
            _ if self.line == Line::Empty => self.line = Line::Field,
            _ => {}
        }
    }

    fn end_line(&mut self) {
        self.has_fields = match self.line {
            Line::Empty => false,
            Line::Comment => self.has_fields,
            Line::Field => true,
        };
        self.line = Line::Empty;
    }
}

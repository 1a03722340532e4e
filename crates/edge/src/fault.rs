//! The reasons for which a request is rejected.

use std::fmt;

use http::StatusCode;

/// The reason for which a request is rejected. No part of a rejected request is sent to a server.
///
/// ```
/// use dunelink_edge::Fault;
///
/// assert_eq!(
///     (Fault::DotSegment.status().as_u16(), Fault::UnsupportedExpectation.status().as_u16()),
///     (400, 417)
/// );
/// assert_eq!(Fault::DotSegment.to_string(), "the path has a dot segment");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Fault {
    /// The target does not begin with `/`: it is empty or in authority or asterisk form.
    NotAPath,
    /// The target has a fragment, which HTTP messages must not contain.
    Fragment,
    /// The target has octets outside ASCII that are not percent-encoded.
    NonAsciiOctet,
    /// The path has a `%` that is not followed by two hexadecimal digits.
    BrokenPercentEncoding,
    /// The decoded path is not valid UTF-8; overlong encodings are invalid.
    InvalidUtf8,
    /// The path has a control octet, raw or percent-encoded.
    ControlOctet,
    /// The path has a segment that some servers interpret as `.` or `..`.
    DotSegment,
    /// The path has a backslash, or a character that a conversion to some code pages turns into a separator.
    SeparatorLookAlike,
    /// The first segment of the path is empty, and the path is not `/`.
    EmptyFirstSegment,
    /// The first segment has octets that some servers decode, normalize or strip.
    AmbiguousFirstSegment,
    /// A segment has octets that some servers decode, normalize or strip, where the complete path determines
    /// the class.
    AmbiguousSegment,
    /// A field that may occur only once is repeated.
    RepeatedField,
    /// The name of a field differs from a known name only in characters that some servers treat as equal.
    LookAlikeField,
    /// The value of a field of the protocol is not text.
    NonTextField,
    /// An HTTP/1.1 request without `Host`.
    MissingHost,
    /// `Host` or the authority of the target is not a host with an optional port.
    InvalidHost,
    /// `Host` and the target name different hosts.
    HostMismatch,
    /// The scheme of the target is not `http` or `https`.
    UnsupportedScheme,
    /// A field replaces the target at some servers, and its value differs from the target.
    TargetOverride,
    /// A field replaces the method at some servers, and its value differs from the method.
    MethodOverride,
    /// `Transfer-Encoding` is not exactly one `chunked`.
    UnsupportedTransferCoding,
    /// `Content-Length` is repeated.
    RepeatedContentLength,
    /// Both `Content-Length` and `Transfer-Encoding` are present.
    ConflictingFraming,
    /// `Expect` is not `100-continue`.
    UnsupportedExpectation,
}

impl Fault {
    /// All variants, for metric tables and tests.
    pub const ALL: [Fault; 24] = [
        Fault::NotAPath,
        Fault::Fragment,
        Fault::NonAsciiOctet,
        Fault::BrokenPercentEncoding,
        Fault::InvalidUtf8,
        Fault::ControlOctet,
        Fault::DotSegment,
        Fault::SeparatorLookAlike,
        Fault::EmptyFirstSegment,
        Fault::AmbiguousFirstSegment,
        Fault::AmbiguousSegment,
        Fault::RepeatedField,
        Fault::LookAlikeField,
        Fault::NonTextField,
        Fault::MissingHost,
        Fault::InvalidHost,
        Fault::HostMismatch,
        Fault::UnsupportedScheme,
        Fault::TargetOverride,
        Fault::MethodOverride,
        Fault::UnsupportedTransferCoding,
        Fault::RepeatedContentLength,
        Fault::ConflictingFraming,
        Fault::UnsupportedExpectation,
    ];

    /// The response status: 417 for an unsupported expectation (RFC 9110, 10.1.1), otherwise 400.
    pub const fn status(self) -> StatusCode {
        match self {
            Fault::UnsupportedExpectation => StatusCode::EXPECTATION_FAILED,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// The reason as text for the client.
    pub const fn reason(self) -> &'static str {
        match self {
            Fault::NotAPath => "the target is not a path",
            Fault::Fragment => "the target has a fragment",
            Fault::NonAsciiOctet => "the target has octets that must be percent-encoded",
            Fault::BrokenPercentEncoding => "the path has a broken percent-encoding",
            Fault::InvalidUtf8 => "the path is not UTF-8",
            Fault::ControlOctet => "the path has a control octet",
            Fault::DotSegment => "the path has a dot segment",
            Fault::SeparatorLookAlike => "the path has a backslash, or what may become a separator",
            Fault::EmptyFirstSegment => "the path begins with an empty part",
            Fault::AmbiguousFirstSegment => "the path's first part is encoded or has parameters",
            Fault::AmbiguousSegment => "a part of the path is empty, encoded or has parameters",
            Fault::RepeatedField => "a field that may stand there once is repeated",
            Fault::LookAlikeField => "a field's name can be taken for another",
            Fault::NonTextField => "a field that is read on the way is not text",
            Fault::MissingHost => "Host is missing",
            Fault::InvalidHost => "Host is not a host",
            Fault::HostMismatch => "Host and the target name different hosts",
            Fault::UnsupportedScheme => "the target's scheme is not http or https",
            Fault::TargetOverride => "a field names another target",
            Fault::MethodOverride => "a field names another method",
            Fault::UnsupportedTransferCoding => "Transfer-Encoding is not chunked, once",
            Fault::RepeatedContentLength => "Content-Length stands there more than once",
            Fault::ConflictingFraming => "both Content-Length and Transfer-Encoding",
            Fault::UnsupportedExpectation => "only 100-continue can be expected",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl std::error::Error for Fault {}

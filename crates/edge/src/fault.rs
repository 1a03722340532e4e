//! Why a request is turned down.

use std::fmt;

use http::StatusCode;

/// Why a request is turned down. Nothing of it is sent to a server.
///
/// ```
/// use dunelink_edge::Fault;
///
/// assert_eq!((Fault::DotSegment.status().as_u16(), Fault::UnsupportedExpectation.status().as_u16()), (400, 417));
/// assert_eq!(Fault::DotSegment.to_string(), "the path has a dot segment");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Fault {
    /// It does not begin with `/`: the authority or asterisk form, or nothing at all.
    NotAPath,
    /// It has a fragment, which never belongs into a message.
    Fragment,
    /// It has octets outside ASCII, which have to be percent-encoded.
    NonAsciiOctet,
    /// A `%` without two hexadecimal digits behind it.
    BrokenPercentEncoding,
    /// What is percent-encoded is not UTF-8, or overlong.
    InvalidUtf8,
    /// A control octet, also an encoded one.
    ControlOctet,
    /// A part that some servers take for `.` or `..`.
    DotSegment,
    /// A backslash, or a character that some code pages turn into one or into a slash or dot.
    SeparatorLookAlike,
    /// It begins with an empty part.
    EmptyFirstSegment,
    /// The first part has octets that some servers decode, fold or cut off.
    AmbiguousFirstSegment,
    /// A part has octets that some servers decode, fold or cut off, where the whole path says what class it is.
    AmbiguousSegment,
    /// A field that may stand there once stands there more often.
    RepeatedField,
    /// A field's name differs from one of the protocol's only in what some servers fold.
    LookAlikeField,
    /// A field that the protocol reads is not text.
    NonTextField,
    /// No `Host`, in HTTP/1.1.
    MissingHost,
    /// `Host` is not a host with an optional port.
    InvalidHost,
    /// `Host` and the target name different hosts.
    HostMismatch,
    /// The target's scheme is not HTTP.
    UnsupportedScheme,
    /// A field that makes some servers take another target.
    TargetOverride,
    /// A field that makes some servers take another method.
    MethodOverride,
    /// `Transfer-Encoding` is not `chunked`, once.
    UnsupportedTransferCoding,
    /// `Content-Length` stands there more than once.
    RepeatedContentLength,
    /// Both `Content-Length` and `Transfer-Encoding`.
    ConflictingFraming,
    /// An expectation other than `100-continue`.
    UnsupportedExpectation,
}

impl Fault {
    /// All of them, for tables and tests.
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

    /// 417 for an expectation (RFC 9110, 10.1.1), 400 for all else.
    pub const fn status(self) -> StatusCode {
        match self {
            Fault::UnsupportedExpectation => StatusCode::EXPECTATION_FAILED,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// What is wrong, in words for the sender.
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

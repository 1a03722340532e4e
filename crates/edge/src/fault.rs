//! Why a request is turned down.

use std::fmt;

use http::StatusCode;

/// Why a request is turned down. Nothing of it is sent to a server.
///
/// ```
/// use dunelink_edge::Fault;
///
/// assert_eq!((Fault::DotSegment.status().as_u16(), Fault::Expectation.status().as_u16()), (400, 417));
/// assert_eq!(Fault::DotSegment.to_string(), "the path has a dot segment");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Fault {
    /// It does not begin with `/`: the authority or asterisk form, or nothing at all.
    Form,
    /// It has a fragment, which never belongs into a message.
    Fragment,
    /// It has octets outside ASCII, which have to be percent-encoded.
    RawOctet,
    /// A `%` without two hexadecimal digits behind it.
    Encoding,
    /// What is percent-encoded is not UTF-8, or overlong.
    Utf8,
    /// A control octet, also an encoded one.
    Control,
    /// A part that some servers take for `.` or `..`.
    DotSegment,
    /// A backslash, or a character that some code pages turn into one or into a slash or dot.
    Backslash,
    /// It begins with an empty part.
    EmptyClass,
    /// The first part has octets that some servers decode, fold or cut off.
    ImpureClass,
    /// A part has octets that some servers decode, fold or cut off, where the whole path says what class it is.
    ImpurePath,
    /// A field that may stand there once stands there more often.
    Repeated,
    /// A field's name differs from one of the protocol's only in what some servers fold.
    LookAlike,
    /// A field that the protocol reads is not text.
    Unreadable,
    /// No `Host`, in HTTP/1.1.
    NoHost,
    /// `Host` is not a host with an optional port.
    BadHost,
    /// `Host` and the target name different hosts.
    OtherHost,
    /// The target's scheme is not HTTP.
    Scheme,
    /// A field that makes some servers take another target.
    OtherTarget,
    /// A field that makes some servers take another method.
    OtherMethod,
    /// `Transfer-Encoding` is not `chunked`, once.
    Coding,
    /// `Content-Length` stands there more than once.
    Lengths,
    /// Both `Content-Length` and `Transfer-Encoding`.
    TwoFramings,
    /// An expectation other than `100-continue`.
    Expectation,
}

impl Fault {
    /// All of them, for tables and tests.
    pub const ALL: [Fault; 24] = [
        Fault::Form,
        Fault::Fragment,
        Fault::RawOctet,
        Fault::Encoding,
        Fault::Utf8,
        Fault::Control,
        Fault::DotSegment,
        Fault::Backslash,
        Fault::EmptyClass,
        Fault::ImpureClass,
        Fault::ImpurePath,
        Fault::Repeated,
        Fault::LookAlike,
        Fault::Unreadable,
        Fault::NoHost,
        Fault::BadHost,
        Fault::OtherHost,
        Fault::Scheme,
        Fault::OtherTarget,
        Fault::OtherMethod,
        Fault::Coding,
        Fault::Lengths,
        Fault::TwoFramings,
        Fault::Expectation,
    ];

    /// 417 for an expectation (RFC 9110, 10.1.1), 400 for all else.
    pub const fn status(self) -> StatusCode {
        match self {
            Fault::Expectation => StatusCode::EXPECTATION_FAILED,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// What is wrong, in words for the sender.
    pub const fn reason(self) -> &'static str {
        match self {
            Fault::Form => "the target is not a path",
            Fault::Fragment => "the target has a fragment",
            Fault::RawOctet => "the target has octets that must be percent-encoded",
            Fault::Encoding => "the path has a broken percent-encoding",
            Fault::Utf8 => "the path is not UTF-8",
            Fault::Control => "the path has a control octet",
            Fault::DotSegment => "the path has a dot segment",
            Fault::Backslash => "the path has a backslash, or what may become a separator",
            Fault::EmptyClass => "the path begins with an empty part",
            Fault::ImpureClass => "the path's first part is encoded or has parameters",
            Fault::ImpurePath => "a part of the path is empty, encoded or has parameters",
            Fault::Repeated => "a field that may stand there once is repeated",
            Fault::LookAlike => "a field's name can be taken for another",
            Fault::Unreadable => "a field that is read on the way is not text",
            Fault::NoHost => "Host is missing",
            Fault::BadHost => "Host is not a host",
            Fault::OtherHost => "Host and the target name different hosts",
            Fault::Scheme => "the target's scheme is not http or https",
            Fault::OtherTarget => "a field names another target",
            Fault::OtherMethod => "a field names another method",
            Fault::Coding => "Transfer-Encoding is not chunked, once",
            Fault::Lengths => "Content-Length stands there more than once",
            Fault::TwoFramings => "both Content-Length and Transfer-Encoding",
            Fault::Expectation => "only 100-continue can be expected",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl std::error::Error for Fault {}

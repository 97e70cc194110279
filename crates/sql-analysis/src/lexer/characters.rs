//! Classes of bytes, by the kind of token that they belong to.

/// The class of a byte.
#[derive(Clone, Copy, PartialEq)]
enum ByteClass {
    /// Neither part of a name nor of an operator.
    Other,
    /// Part of an unquoted name or keyword.
    Identifier,
    /// Part of an operator.
    Operator,
}

/// The class of each byte.
const BYTE_CLASSES: [ByteClass; 256] = {
    let mut classes = [ByteClass::Other; 256];
    let mut index = 0;
    while index < classes.len() {
        let byte = index as u8;
        if byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'$') || !byte.is_ascii() {
            classes[index] = ByteClass::Identifier;
        }
        if matches!(byte, b'+' | b'-' | b'*' | b'/' | b'<' | b'>' | b'=')
            || matches!(byte, b'~' | b'!' | b'%' | b'^' | b'&' | b'|')
        {
            classes[index] = ByteClass::Operator;
        }
        index += 1;
    }
    classes
};

/// Operators that all engines interpret in the same way.
pub(super) const OPERATORS: [&[u8]; 25] = [
    b"+", b"-", b"*", b"/", b"<", b">", b"=", b"%", b"^", b"&", b"|", b"~", b"<=", b">=", b"<>",
    b"!=", b"||", b"->", b"->>", b"=>", b"&&", b"!~", b"~*", b"!~*", b"<=>",
];

/// Whether a byte may be part of an unquoted name or keyword.
pub(super) fn is_identifier_byte(byte: u8) -> bool {
    BYTE_CLASSES[usize::from(byte)] == ByteClass::Identifier
}

/// Whether a byte may be part of an operator.
pub(super) fn is_operator_byte(byte: u8) -> bool {
    BYTE_CLASSES[usize::from(byte)] == ByteClass::Operator
}

/// Whether an operator is a plus or minus.
pub(super) fn is_sign(operator: &[u8]) -> bool {
    matches!(operator, b"-" | b"+")
}

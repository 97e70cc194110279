//! Helpers for tests of message layouts: bytes as hexadecimal digits, and the lines of a fixture file.

/// Bytes as hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses hexadecimal digits into bytes.
///
/// # Panics
/// If `hex` has other characters, or an odd number of digits.
pub fn from_hex(hex: &str) -> Vec<u8> {
    assert!(
        hex.len().is_multiple_of(2),
        "odd number of hexadecimal digits: {hex}"
    );
    (0..hex.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&hex[start..start + 2], 16).expect("hex digits"))
        .collect()
}

/// The name and hexadecimal digits of each message in a fixture file, which has one `name hex` pair per line.
///
/// # Panics
/// If a line has no space.
pub fn fixture_lines(text: &str) -> Vec<(&str, &str)> {
    text.lines()
        .map(|line| line.split_once(' ').expect("a name and hex digits"))
        .collect()
}

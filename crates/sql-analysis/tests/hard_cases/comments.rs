//! Statements whose comments end at different places in different engines. Each engine is modelled by a reader that
//! removes its comments; a statement may be proven read-only only if all readers keep the same text.

use crate::analyzer;
use tansymux_sql_analysis::Effect;

/// Maximum length of the texts: all texts up to it are generated.
const MAX_LENGTH: u32 = 9;
/// The characters of the texts.
const ALPHABET: [u8; 3] = [b'/', b'*', b'a'];

/// How an engine reads block comments.
#[derive(Clone, Copy)]
struct Reader {
    /// A comment may contain comments.
    nests: bool,
    /// The end of a comment may share its asterisk with the start, so that `/*/` is a comment.
    overlaps: bool,
}

const READERS: [Reader; 4] = [
    Reader {
        nests: false,
        overlaps: false,
    },
    Reader {
        nests: false,
        overlaps: true,
    },
    Reader {
        nests: true,
        overlaps: false,
    },
    Reader {
        nests: true,
        overlaps: true,
    },
];

impl Reader {
    /// The text without its comments, each replaced by a space; `None` if a comment has no end.
    fn without_comments(self, text: &[u8]) -> Option<Vec<u8>> {
        let mut kept = Vec::new();
        let mut offset = 0;
        while offset < text.len() {
            if text[offset..].starts_with(b"/*") {
                offset = self.comment_end(text, offset)?;
                kept.push(b' ');
            } else {
                kept.push(text[offset]);
                offset += 1;
            }
        }
        Some(kept)
    }

    /// The offset after the comment that starts at `start`.
    fn comment_end(self, text: &[u8], start: usize) -> Option<usize> {
        let start_length = if self.overlaps { 1 } else { 2 };
        let mut offset = start + start_length;
        let mut depth = 1;
        while depth > 0 {
            let rest = text.get(offset..).filter(|rest| !rest.is_empty())?;
            if rest.starts_with(b"*/") {
                depth -= 1;
                offset += 2;
            } else if self.nests && rest.starts_with(b"/*") {
                depth += 1;
                offset += start_length;
            } else {
                offset += 1;
            }
        }
        Some(offset)
    }
}

/// All texts of `length` characters of the alphabet.
fn texts(length: u32) -> impl Iterator<Item = Vec<u8>> {
    (0..3_usize.pow(length)).map(move |mut number| {
        let mut character = || {
            let character = ALPHABET[number % 3];
            number /= 3;
            character
        };
        (0..length).map(|_| character()).collect()
    })
}

/// Guards against a comment that ends for the analysis and goes on for an engine, which then runs other text.
#[test]
fn statement_is_proven_read_only_only_if_its_comments_can_be_read_in_one_way() {
    let mut analyzer = analyzer();
    let mut proven_with_comments = 0;
    for text in (0..=MAX_LENGTH).flat_map(texts) {
        let text = [b"select 1 ", text.as_slice(), b" from t"].concat();
        let statement = std::str::from_utf8(&text).unwrap();
        if analyzer.analyze(&text).analysis.effect != Effect::ReadOnly {
            continue;
        }
        let kept = READERS.map(|reader| reader.without_comments(&text));
        assert!(kept[0].is_some(), "{statement}");
        assert!(kept.iter().all(|other| *other == kept[0]), "{statement}");
        proven_with_comments += usize::from(statement.contains("/*"));
    }
    assert!(proven_with_comments > 100, "{proven_with_comments}");
}

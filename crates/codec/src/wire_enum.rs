//! The macro [`wire_enum!`](crate::wire_enum).

/// Defines an enum without fields that is one byte on the wire, with the methods `code` and `from_code`.
///
/// ```
/// tansymux_codec::wire_enum! {
///     /// A traffic light.
///     pub enum Light {
///         /// Stop.
///         Red = 0,
///         /// Go.
///         Green = 1,
///     }
/// }
///
/// assert_eq!(Light::Green.code(), 1);
/// assert_eq!(Light::from_code(0), Some(Light::Red));
/// assert_eq!(Light::from_code(2), None);
/// ```
#[macro_export]
macro_rules! wire_enum {
    (
        $(#[$attribute:meta])*
        $visibility:vis enum $name:ident {
            $(
                $(#[$variant_attribute:meta])*
                $variant:ident = $code:literal,
            )+
        }
    ) => {
        $(#[$attribute])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u8)]
        $visibility enum $name {
            $(
                $(#[$variant_attribute])*
                $variant = $code,
            )+
        }

        impl $name {
            /// The code of this value on the wire.
            $visibility const fn code(self) -> u8 {
                self as u8
            }

            /// The value with this code on the wire; `None` for a code that is not defined in this version.
            $visibility const fn from_code(code: u8) -> Option<Self> {
                match code {
                    $($code => Some($name::$variant),)+
                    _ => None,
                }
            }
        }
    };
}

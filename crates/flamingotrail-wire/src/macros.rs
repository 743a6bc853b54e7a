//! Macros that declare a wire type for a type of the decision logic, with conversions in both
//! directions.
//!
//! The kind of each field tells how it is converted: `one T` with `into`, `many T` as `Vec<T>`,
//! `maybe T` as `Option<T>` and `boxed T` as `Box<T>`.

/// Expands to the type of a field on the wire.
macro_rules! field_type {
    (one $t:ty) => { $t };
    (many $t:ty) => { Vec<$t> };
    (maybe $t:ty) => { Option<$t> };
    (boxed $t:ty) => { Box<$t> };
}

/// Converts the value of a field in either direction.
macro_rules! convert {
    (one $e:expr) => {
        $e.into()
    };
    (many $e:expr) => {
        $e.into_iter().map(Into::into).collect()
    };
    (maybe $e:expr) => {
        $e.map(Into::into)
    };
    (boxed $e:expr) => {
        Box::new((*$e).into())
    };
}

/// Declares a wire struct with the same fields as the struct `$core`.
macro_rules! wire_struct {
    ($(#[$doc:meta])* $name:ident, $core:path { $($field:ident: $kind:ident $type:ty,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[allow(missing_docs)]
        pub struct $name { $(pub $field: field_type!($kind $type),)* }

        impl From<$core> for $name {
            fn from(value: $core) -> Self {
                $name { $($field: convert!($kind value.$field),)* }
            }
        }

        impl From<$name> for $core {
            fn from(value: $name) -> Self {
                let $name { $($field,)* } = value;
                Self { $($field: convert!($kind $field),)* }
            }
        }
    };
}

/// Declares a wire enum with the same variants as the enum `$core::$enum`.
macro_rules! wire_enum {
    ($(#[$doc:meta])* $name:ident, $core:ident :: $enum:ident {
        $($variant:ident
            $({ $($field:ident: $kind:ident $type:ty,)* })?
            $(( $inner:ident: $inner_kind:ident $inner_type:ty ))? ,)*
    }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[allow(missing_docs)]
        pub enum $name {
            $($variant
                $({ $($field: field_type!($kind $type),)* })?
                $((field_type!($inner_kind $inner_type)))?,)*
        }

        impl From<$core::$enum> for $name {
            fn from(value: $core::$enum) -> Self {
                match value {
                    $($core::$enum::$variant $({ $($field,)* })? $(($inner))? => $name::$variant
                        $({ $($field: convert!($kind $field),)* })?
                        $((convert!($inner_kind $inner)))?,)*
                }
            }
        }

        impl From<$name> for $core::$enum {
            fn from(value: $name) -> Self {
                match value {
                    $($name::$variant $({ $($field,)* })? $(($inner))? => $core::$enum::$variant
                        $({ $($field: convert!($kind $field),)* })?
                        $((convert!($inner_kind $inner)))?,)*
                }
            }
        }
    };
}

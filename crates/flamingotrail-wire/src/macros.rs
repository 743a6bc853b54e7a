//! Declares a wire type beside the type of the decisions, with conversions both ways.
//!
//! A field is `one T` (converted by `into`), `many T`, `maybe T` or `boxed T`.

macro_rules! field_type {
    (one $t:ty) => { $t };
    (many $t:ty) => { Vec<$t> };
    (maybe $t:ty) => { Option<$t> };
    (boxed $t:ty) => { Box<$t> };
}

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

macro_rules! wire_enum {
    ($(#[$doc:meta])* $name:ident, $core:ident :: $enum:ident {
        $($variant:ident
            $({ $($field:ident: $kind:ident $type:ty,)* })?
            $(( $bound:ident: $bkind:ident $btype:ty ))? ,)*
    }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[allow(missing_docs)]
        pub enum $name {
            $($variant
                $({ $($field: field_type!($kind $type),)* })?
                $((field_type!($bkind $btype)))?,)*
        }

        impl From<$core::$enum> for $name {
            fn from(value: $core::$enum) -> Self {
                match value {
                    $($core::$enum::$variant $({ $($field,)* })? $(($bound))? => $name::$variant
                        $({ $($field: convert!($kind $field),)* })?
                        $((convert!($bkind $bound)))?,)*
                }
            }
        }

        impl From<$name> for $core::$enum {
            fn from(value: $name) -> Self {
                match value {
                    $($name::$variant $({ $($field,)* })? $(($bound))? => $core::$enum::$variant
                        $({ $($field: convert!($kind $field),)* })?
                        $((convert!($bkind $bound)))?,)*
                }
            }
        }
    };
}

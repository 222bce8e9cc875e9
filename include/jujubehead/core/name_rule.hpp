#ifndef JUJUBEHEAD_CORE_NAME_RULE_HPP
#define JUJUBEHEAD_CORE_NAME_RULE_HPP

#include <string>      // for string
#include <string_view> // for string_view

namespace jujubehead::core {

/// @return whether the text may name an account, instance or data centre.
bool
IsName(std::string_view aText);

/// @return the rule of IsName() as text for findings.
std::string
NameRule();

/// @return whether the text may name a model, version or adapter: a name that
/// may also have `/` and `:`.
bool
IsModelName(std::string_view aText);

/// @return the rule of IsModelName() as text for findings.
std::string
ModelNameRule();

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_NAME_RULE_HPP

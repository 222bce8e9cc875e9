#ifndef JUJUBEHEAD_NET_OPENAI_FIELDS_HPP
#define JUJUBEHEAD_NET_OPENAI_FIELDS_HPP

#include <cstdint>  // for int64_t
#include <optional> // for optional
#include <string>   // for string

#include <nlohmann/json.hpp> // for json

namespace jujubehead::net {

/// @brief A field of a request is not as the API has it.
struct FieldError
{
  std::string field;
  std::string message;
  std::string code; ///< As the API names such faults.
};

/// Types that a field may have, added up.
using JsonTypes = unsigned;
inline constexpr JsonTypes kJsonString = 1;
inline constexpr JsonTypes kJsonBool = 2;
inline constexpr JsonTypes kJsonArray = 4;
inline constexpr JsonTypes kJsonObject = 8;

// All of these throw FieldError. A field that is null counts as absent.

/// @brief Says that a field has another type.
[[noreturn]] void
FailType(const std::string& aField,
         const std::string& aExpected,
         const nlohmann::json& aValue);
/// @brief Says that a value is out of its range.
[[noreturn]] void
Fail(const std::string& aField, const std::string& aExpected);
[[noreturn]] void
FailMissing(const std::string& aField);

/// @return the field; null when it is absent.
const nlohmann::json*
Find(const nlohmann::json& aBody, const std::string& aField);
void
CheckType(const nlohmann::json& aBody,
          const std::string& aField,
          JsonTypes aTypes);
void
CheckNumber(const nlohmann::json& aBody,
            const std::string& aField,
            double aLeast,
            double aMost);
/// @return the value; nothing when the field is absent.
std::optional<std::int64_t>
CheckInteger(const nlohmann::json& aBody,
             const std::string& aField,
             std::int64_t aLeast,
             std::int64_t aMost);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_OPENAI_FIELDS_HPP

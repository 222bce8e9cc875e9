#include "openai_fields.hpp"

#include <array>       // for array
#include <string_view> // for string_view
#include <utility>     // for pair

namespace jujubehead::net {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<JsonTypes, std::string_view>, 4> kTypeNames = { {
  { kJsonString, "a string" },
  { kJsonBool, "a boolean" },
  { kJsonArray, "an array" },
  { kJsonObject, "an object" },
} };

JsonTypes
TypeOf(const Json& aValue)
{
  switch (aValue.type()) {
    case Json::value_t::string:
      return kJsonString;
    case Json::value_t::boolean:
      return kJsonBool;
    case Json::value_t::array:
      return kJsonArray;
    case Json::value_t::object:
      return kJsonObject;
    default:
      return 0;
  }
}

std::string
Names(JsonTypes aTypes)
{
  std::string names;
  for (const auto& [type, name] : kTypeNames) {
    if ((aTypes & type) != 0) {
      names.append(names.empty() ? "" : " or ").append(name);
    }
  }
  return names;
}

} // namespace

void
FailType(const std::string& aField,
         const std::string& aExpected,
         const Json& aValue)
{
  throw FieldError{ aField,
                    "Invalid type for '" + aField + "': expected " + aExpected +
                      ", but got " + aValue.type_name() + " instead.",
                    "invalid_type" };
}

void
Fail(const std::string& aField, const std::string& aExpected)
{
  throw FieldError{ aField,
                    "Invalid '" + aField + "': expected " + aExpected + ".",
                    "invalid_value" };
}

void
FailMissing(const std::string& aField)
{
  throw FieldError{ aField,
                    "Missing required parameter: '" + aField + "'.",
                    "missing_required_parameter" };
}

const Json*
Find(const Json& aBody, const std::string& aField)
{
  const auto found = aBody.find(aField);
  return found == aBody.end() || found->is_null() ? nullptr : &*found;
}

void
CheckType(const Json& aBody, const std::string& aField, JsonTypes aTypes)
{
  const Json* value = Find(aBody, aField);
  if (value != nullptr && (TypeOf(*value) & aTypes) == 0) {
    FailType(aField, Names(aTypes), *value);
  }
}

void
CheckNumber(const Json& aBody,
            const std::string& aField,
            double aLeast,
            double aMost)
{
  const Json* value = Find(aBody, aField);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number()) {
    FailType(aField, "a number", *value);
  }
  const auto number = value->get<double>();
  if (!(number >= aLeast && number <= aMost)) {
    Fail(aField,
         "a number from " + Json(aLeast).dump() + " to " + Json(aMost).dump());
  }
}

std::optional<std::int64_t>
CheckInteger(const Json& aBody,
             const std::string& aField,
             std::int64_t aLeast,
             std::int64_t aMost)
{
  const Json* value = Find(aBody, aField);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_number_integer()) {
    FailType(aField, "an integer", *value);
  }
  // A number above the signed range would wrap when read as signed.
  const bool fits =
    (!value->is_number_unsigned() ||
     value->get<std::uint64_t>() <= static_cast<std::uint64_t>(aMost)) &&
    value->get<std::int64_t>() >= aLeast && value->get<std::int64_t>() <= aMost;
  if (!fits) {
    Fail(aField,
         "an integer from " + std::to_string(aLeast) + " to " +
           std::to_string(aMost));
  }
  return value->get<std::int64_t>();
}

} // namespace jujubehead::net

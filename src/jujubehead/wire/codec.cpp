#include "jujubehead/wire/codec.hpp"

#include <array>   // for array
#include <utility> // for index_sequence

#include <nlohmann/json.hpp> // for json

namespace jujubehead::wire {
namespace {

using Json = nlohmann::json;

// Writers: one overload per kind of field.
template<typename Kind>
Json
Write(const core::Id<Kind>& aId)
{
  return aId.Text();
}

Json
Write(core::Duration aDuration)
{
  return aDuration.count();
}

// A byte string, since context keys are raw bytes, not text.
Json
Write(const std::string& aText)
{
  return Json::binary({ aText.begin(), aText.end() });
}

template<typename Number>
requires std::is_arithmetic_v<Number> Json
Write(Number aNumber)
{
  return aNumber;
}

template<typename Enum>
requires std::is_enum_v<Enum> Json
Write(Enum aValue)
{
  return static_cast<std::underlying_type_t<Enum>>(aValue);
}

template<typename Struct>
requires requires(const Struct& aStruct)
{
  Struct::Fields(aStruct);
}
Json
Write(const Struct& aStruct);

template<typename Item>
Json
Write(const std::vector<Item>& aItems)
{
  Json list = Json::array();
  for (const Item& item : aItems) {
    list.push_back(Write(item));
  }
  return list;
}

template<typename Struct>
requires requires(const Struct& aStruct)
{
  Struct::Fields(aStruct);
}
Json
Write(const Struct& aStruct)
{
  Json list = Json::array();
  std::apply(
    [&list](const auto&... aField) { (list.push_back(Write(aField)), ...); },
    Struct::Fields(aStruct));
  return list;
}

// Readers: the inverse of each writer.
template<typename Kind>
void
Read(const Json& aJson, core::Id<Kind>& aId)
{
  aId = core::Id<Kind>(aJson.get<std::string>());
}

void
Read(const Json& aJson, core::Duration& aDuration)
{
  aDuration = core::Duration(aJson.get<core::Duration::rep>());
}

void
Read(const Json& aJson, std::string& aText)
{
  const Json::binary_t& bytes = aJson.get_binary();
  aText.assign(bytes.begin(), bytes.end());
}

template<typename Number>
requires std::is_arithmetic_v<Number>
void
Read(const Json& aJson, Number& aNumber)
{
  aNumber = aJson.get<Number>();
}

template<typename Enum>
requires std::is_enum_v<Enum>
void
Read(const Json& aJson, Enum& aValue)
{
  aValue = static_cast<Enum>(aJson.get<std::underlying_type_t<Enum>>());
}

template<typename Struct>
requires requires(Struct& aStruct)
{
  Struct::Fields(aStruct);
}
void
Read(const Json& aJson, Struct& aStruct);

template<typename Item>
void
Read(const Json& aJson, std::vector<Item>& aItems)
{
  for (const Json& element : aJson.get_ref<const Json::array_t&>()) {
    Read(element, aItems.emplace_back());
  }
}

template<typename Struct>
requires requires(Struct& aStruct)
{
  Struct::Fields(aStruct);
}
void
Read(const Json& aJson, Struct& aStruct)
{
  const auto& list = aJson.get_ref<const Json::array_t&>();
  std::size_t index = 0;
  std::apply([&](auto&... aField) { (Read(list.at(index++), aField), ...); },
             Struct::Fields(aStruct));
}

template<std::size_t Index>
Message
ReadAlternative(const Json& aFields)
{
  std::variant_alternative_t<Index, Message> message;
  Read(aFields, message);
  return message;
}

template<std::size_t... Index>
Message
ReadMessage(std::size_t aType,
            const Json& aFields,
            std::index_sequence<Index...> /*aIndices*/)
{
  using Reader = Message (*)(const Json&);
  static constexpr std::array<Reader, sizeof...(Index)> kReaders = {
    &ReadAlternative<Index>...
  };
  return kReaders.at(aType)(aFields);
}

constexpr std::size_t kEnvelopeFields = 4;

} // namespace

std::vector<std::uint8_t>
Encode(const Envelope& aEnvelope)
{
  Json list = Json::array();
  list.push_back(aEnvelope.message.index());
  list.push_back(aEnvelope.call);
  list.push_back(aEnvelope.is_reply);
  list.push_back(std::visit(
    [](const auto& aMessage) { return Write(aMessage); }, aEnvelope.message));
  return Json::to_cbor(list);
}

Envelope
Decode(std::span<const std::uint8_t> aBytes)
{
  try {
    const Json list = Json::from_cbor(aBytes.begin(), aBytes.end());
    if (!list.is_array() || list.size() != kEnvelopeFields) {
      throw DecodeError("malformed envelope: expected an array of 4 elements");
    }
    Envelope envelope;
    envelope.call = list[1].get<std::uint64_t>();
    envelope.is_reply = list[2].get<bool>();
    envelope.message =
      ReadMessage(list[0].get<std::size_t>(),
                  list[3],
                  std::make_index_sequence<std::variant_size_v<Message>>());
    return envelope;
  } catch (const Json::exception& error) {
    throw DecodeError(error.what());
  } catch (const std::out_of_range& error) {
    throw DecodeError(error.what());
  }
}

} // namespace jujubehead::wire

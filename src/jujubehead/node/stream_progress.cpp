#include "jujubehead/node/stream_progress.hpp"

#include <stdexcept> // for invalid_argument

#include <nlohmann/json.hpp> // for json

namespace jujubehead::node {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kDone = "[DONE]";
/// Names the software and configuration that an answer comes from.
constexpr const char* kSoftwareVersion = "system_fingerprint";

std::uint32_t
CountIn(const Json& aJson, const char* aName)
{
  const auto found = aJson.find(aName);
  return found != aJson.end() && found->is_number_unsigned()
           ? found->get<std::uint32_t>()
           : 0;
}

std::optional<AnswerUsage>
UsageIn(const Json& aAnswer)
{
  const auto found = aAnswer.find("usage");
  if (found == aAnswer.end() || !found->is_object()) {
    return std::nullopt;
  }
  AnswerUsage usage;
  usage.prompt_tokens = CountIn(*found, "prompt_tokens");
  usage.completion_tokens = CountIn(*found, "completion_tokens");
  const auto details = found->find("prompt_tokens_details");
  if (details != found->end() && details->is_object()) {
    usage.cached_tokens = CountIn(*details, "cached_tokens");
  }
  usage.recomputed_tokens = usage.prompt_tokens - usage.cached_tokens;
  const auto own = aAnswer.find("jujubehead");
  if (own != aAnswer.end() && own->is_object()) {
    usage.recomputed_tokens = CountIn(*own, "recomputed_tokens");
    usage.imported_tokens = CountIn(*own, "imported_tokens");
  }
  return usage;
}

/// What the one choice of an event carries.
struct Choice
{
  bool present = false;
  bool token = false; ///< One plain piece of text.
  bool role = false;
  bool finish = false;
  bool other = false; ///< Anything that a resume could not continue.
};

bool
HasText(const Json& aJson, const char* aName)
{
  const auto found = aJson.find(aName);
  return found != aJson.end() && found->is_string() &&
         !found->get_ref<const std::string&>().empty();
}

void
ReadDelta(const Json& aDelta, Choice& aChoice)
{
  for (const auto& [name, value] : aDelta.items()) {
    if (name == "role") {
      aChoice.role = true;
    } else if (name == "content") {
      aChoice.token = aChoice.token || HasText(aDelta, "content");
    } else if (!value.is_null()) {
      aChoice.other = true;
    }
  }
}

Choice
ReadChoice(const Json& aEvent)
{
  Choice choice;
  const auto choices = aEvent.find("choices");
  if (choices == aEvent.end() || !choices->is_array() || choices->empty()) {
    return choice;
  }
  const Json& first = choices->front();
  choice.present = true;
  choice.other = choices->size() != 1 || CountIn(first, "index") != 0;
  choice.token = HasText(first, "text");
  const auto delta = first.find("delta");
  if (delta != first.end() && delta->is_object()) {
    ReadDelta(*delta, choice);
  }
  choice.finish = HasText(first, "finish_reason");
  return choice;
}

} // namespace

struct StreamProgress::Event
{
  Choice choice;
};

std::optional<std::string_view>
StreamProgress::Take(std::string_view aData)
{
  if (aData == kDone) {
    m_done = true;
    return aData;
  }
  Json json = Json::parse(aData, nullptr, false);
  if (!json.is_object()) {
    throw std::invalid_argument("an event of the stream is no JSON object");
  }
  CheckSoftwareVersion(HasText(json, kSoftwareVersion)
                         ? json[kSoftwareVersion].get<std::string>()
                         : std::string());
  const Event event{ ReadChoice(json) };
  if (m_resumed && Has(event)) {
    return std::nullopt;
  }
  Count(event);
  if (const auto usage = UsageIn(json)) {
    m_usage = usage;
  }
  if (!m_resumed) {
    if (m_id.empty()) {
      m_id = json.value("id", "");
      m_created = json.value("created", std::int64_t{ 0 });
    }
    return aData;
  }
  json["id"] = m_id;
  json["created"] = m_created;
  m_rewritten = json.dump();
  return m_rewritten;
}

void
StreamProgress::CheckSoftwareVersion(const std::string& aVersion)
{
  if (m_is_version_checked) {
    return;
  }
  if (m_resumed && aVersion != m_software_version) {
    throw std::invalid_argument("the stream began at software version '" +
                                m_software_version + "', and goes on at '" +
                                aVersion + "'");
  }
  m_software_version = aVersion;
  m_is_version_checked = true;
}

bool
StreamProgress::Has(const Event& aEvent) const
{
  if (!aEvent.choice.present) {
    return false;
  }
  if (m_finished) {
    return true;
  }
  const bool only_role =
    aEvent.choice.role && !aEvent.choice.token && !aEvent.choice.finish;
  return only_role && m_role_sent;
}

void
StreamProgress::Count(const Event& aEvent)
{
  m_tokens += aEvent.choice.token ? 1 : 0;
  m_role_sent = m_role_sent || aEvent.choice.role;
  m_finished = m_finished || aEvent.choice.finish;
  m_plain = m_plain && !aEvent.choice.other;
}

std::optional<AnswerUsage>
UsageOf(std::string_view aAnswer)
{
  const Json json = Json::parse(aAnswer, nullptr, false);
  return json.is_object() ? UsageIn(json) : std::nullopt;
}

} // namespace jujubehead::node

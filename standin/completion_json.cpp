#include "standin/completion_json.hpp"

#include "standin/face.hpp" // for NowMs

namespace jujubehead::standin {
namespace {

using nlohmann::json;

constexpr EpochMs kMsPerSecond = 1000;
constexpr std::string_view kTokenPlace = "\"@\"";

std::string
PromptOf(const json& aBody, bool aIsChat)
{
  return TextOf(aBody.at(aIsChat ? "messages" : "prompt"));
}

std::vector<std::string>
StopOf(const json& aBody)
{
  const json stop = aBody.value("stop", json());
  if (stop.is_string()) {
    return { stop.get<std::string>() };
  }
  return stop.is_array() ? stop.get<std::vector<std::string>>()
                         : std::vector<std::string>{};
}

std::optional<std::size_t>
MaxTokensOf(const json& aBody)
{
  for (const char* name : { "max_completion_tokens", "max_tokens" }) {
    if (aBody.contains(name) && aBody.at(name).is_number()) {
      return aBody.at(name).get<std::size_t>();
    }
  }
  return std::nullopt;
}

std::optional<ImportOrder>
ImportOf(const json& aExtension)
{
  const json order = aExtension.value("import", json());
  if (!order.is_object()) {
    return std::nullopt;
  }
  return ImportOrder{ order.at("store").get<std::string>(),
                      TextOf(order.at("handle")),
                      TextOf(order.at("generation")),
                      order.value("blocks", std::size_t{ 0 }) };
}

void
ReadExtension(const json& aExtension, RunRequest& aRun)
{
  aRun.request_id = aExtension.value("request_id", std::string());
  aRun.fencing = aExtension.value("fencing", std::int64_t{ 0 });
  aRun.priority = aExtension.value("priority", std::int64_t{ 0 });
  aRun.version = aExtension.value("version", std::string());
  aRun.adapter = aExtension.value("adapter", std::string());
  aRun.resume_from = aExtension.value("resume_from", std::size_t{ 0 });
  const json context = aExtension.value("context", json::object());
  aRun.salt = context.value("salt", std::string());
  aRun.block_bytes = context.value("block_bytes", std::size_t{ 0 });
  aRun.keys = context.value("keys", std::vector<std::string>());
}

std::string
Event(const json& aBody)
{
  return "data: " + aBody.dump() + "\n\n";
}

} // namespace

std::string
TextOf(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

CompletionCall
ParseCompletionCall(std::string_view aBody, bool aIsChat)
{
  const json body = json::parse(aBody);
  const json extension = body.value("jujubehead", json::object());
  CompletionCall call;
  call.is_chat = aIsChat;
  call.model = body.value("model", std::string());
  call.stream = body.value("stream", false);
  call.include_usage =
    body.value("stream_options", json::object()).value("include_usage", false);
  call.run.prompt = PromptOf(body, aIsChat);
  const json seed = body.value("seed", json());
  call.run.seed = seed.is_number_integer() ? seed.get<std::int64_t>() : 0;
  call.run.max_tokens = MaxTokensOf(body);
  call.run.stop = StopOf(body);
  ReadExtension(extension, call.run);
  call.import = ImportOf(extension);
  return call;
}

CompletionWriter::CompletionWriter(const CompletionCall& aCall, const Run& aRun)
  : m_run(&aRun)
  , m_first(aRun.emitted)
  , m_is_chat(aCall.is_chat)
  , m_include_usage(aCall.include_usage)
  , m_model(aCall.model)
{
  json chunk = Envelope("chunk");
  json choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (m_is_chat) {
    choice["delta"] = { { "content", "@" } };
  } else {
    choice["text"] = "@";
  }
  chunk["choices"] = json::array({ std::move(choice) });
  const std::string event = Event(chunk);
  const std::size_t place = event.find(kTokenPlace);
  m_before_token = event.substr(0, place + 1);
  m_after_token = event.substr(place + kTokenPlace.size() - 1);
}

std::string
CompletionWriter::TokenEvent(std::size_t aIndex) const
{
  return m_before_token + m_run->answer.tokens[aIndex] + m_after_token;
}

std::string
CompletionWriter::FinalEvents() const
{
  json chunk = Envelope("chunk");
  json choice{ { "index", 0 },
               { "finish_reason", m_run->answer.finish_reason } };
  if (m_is_chat) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  chunk["choices"] = json::array({ std::move(choice) });
  std::string events = Event(chunk);
  if (m_include_usage) {
    chunk["choices"] = json::array();
    chunk["usage"] = Usage();
    events += Event(chunk);
  }
  return events + "data: [DONE]\n\n";
}

json
CompletionWriter::Whole() const
{
  std::string text;
  for (std::size_t i = m_first; i < m_run->answer.tokens.size(); ++i) {
    text += m_run->answer.tokens[i];
  }
  json choice{ { "index", 0 },
               { "finish_reason", m_run->answer.finish_reason } };
  if (m_is_chat) {
    choice["message"] = { { "role", "assistant" },
                          { "content", std::move(text) } };
  } else {
    choice["text"] = std::move(text);
  }
  json whole = Envelope("whole");
  whole["choices"] = json::array({ std::move(choice) });
  whole["usage"] = Usage();
  return whole;
}

json
CompletionWriter::Envelope(std::string_view aKind) const
{
  const std::string chat =
    aKind == "chunk" ? "chat.completion.chunk" : "chat.completion";
  return { { "id",
             (m_is_chat ? "chatcmpl-" : "cmpl-") + m_run->request.request_id },
           { "object", m_is_chat ? chat : "text_completion" },
           { "created", NowMs() / kMsPerSecond },
           { "model", m_model } };
}

json
CompletionWriter::Usage() const
{
  const std::size_t answer_tokens = m_run->answer.tokens.size() - m_first;
  return { { "prompt_tokens", m_run->prompt_tokens },
           { "completion_tokens", answer_tokens },
           { "total_tokens", m_run->prompt_tokens + answer_tokens },
           { "prompt_tokens_details",
             { { "cached_tokens", m_run->cached_tokens } } },
           { "jujubehead",
             { { "recomputed_tokens", m_run->recomputed_tokens },
               { "imported_tokens", m_run->imported_tokens } } } };
}

} // namespace jujubehead::standin

#include "jujubehead/net/openai_request.hpp"

#include <algorithm> // for all_of, binary_search
#include <array>     // for array
#include <utility>   // for move

#include "openai_fields.hpp" // for CheckType, CheckNumber, CheckInteger

#include "jujubehead/net/json_depth.hpp" // for NestsDeeperThan

namespace jujubehead::net {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr double kMaxPenalty = 2;
constexpr std::int64_t kMaxChoices = 128;
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kMaxTopLogprobs = 20;
constexpr std::size_t kMaxStops = 4;

ApiError
ErrorFor(const std::string& aField,
         std::string aMessage,
         std::string aCode = "invalid_json")
{
  ApiError error;
  error.status = 400;
  error.message = std::move(aMessage);
  error.type = "invalid_request_error";
  error.param = aField;
  error.code = std::move(aCode);
  error.run_state = RunState::kNotRun;
  return error;
}

void
CheckStop(const Json& aBody)
{
  const Json* stop = Find(aBody, "stop");
  if (stop == nullptr || stop->is_string()) {
    return;
  }
  const std::string expected = "a string or an array of at most 4 strings";
  if (!stop->is_array() || stop->size() > kMaxStops) {
    Fail("stop", expected);
  }
  for (const Json& one : *stop) {
    if (!one.is_string()) {
      Fail("stop", expected);
    }
  }
}

std::string
ReadModel(const Json& aBody)
{
  const Json* model = Find(aBody, "model");
  if (model == nullptr) {
    FailMissing("model");
  }
  if (!model->is_string() || model->get_ref<const std::string&>().empty()) {
    Fail("model", "a string");
  }
  return model->get<std::string>();
}

void
CheckMessage(const Json& aMessage, const std::string& aField)
{
  if (!aMessage.is_object()) {
    Fail(aField, "an object");
  }
  const Json* role = Find(aMessage, "role");
  if (role == nullptr || !role->is_string()) {
    Fail(aField + ".role", "a string");
  }
  const Json* content = Find(aMessage, "content");
  if (content != nullptr && !content->is_string() && !content->is_array()) {
    Fail(aField + ".content", "a string or an array of content parts");
  }
  const bool needs_content = *role != "assistant" && *role != "tool";
  if (content == nullptr && needs_content) {
    Fail(aField + ".content", "a string or an array of content parts");
  }
}

std::string
ReadMessages(const Json& aBody)
{
  const Json* messages = Find(aBody, "messages");
  if (messages == nullptr) {
    FailMissing("messages");
  }
  if (!messages->is_array() || messages->empty()) {
    Fail("messages", "a non-empty array of messages");
  }
  for (std::size_t i = 0; i < messages->size(); ++i) {
    CheckMessage((*messages)[i], "messages[" + std::to_string(i) + "]");
  }
  // Without the closing bracket, so that a longer conversation begins with the
  // same text as a shorter one.
  std::string text = messages->dump();
  text.pop_back();
  return text;
}

bool
IsTokenList(const Json& aValue)
{
  return aValue.is_array() && !aValue.empty() &&
         std::ranges::all_of(aValue, [](const Json& aToken) {
           return aToken.is_number_unsigned();
         });
}

void
CheckPromptList(const Json& aPrompt)
{
  const bool fits =
    IsTokenList(aPrompt) || (aPrompt.is_array() && !aPrompt.empty() &&
                             (std::ranges::all_of(aPrompt, &Json::is_string) ||
                              std::ranges::all_of(aPrompt, IsTokenList)));
  if (!fits) {
    FailType("prompt",
             "a string, or an array of strings, of tokens or of token arrays",
             aPrompt);
  }
}

std::string
ReadPrompt(const Json& aBody)
{
  const Json* prompt = Find(aBody, "prompt");
  if (prompt == nullptr) {
    FailMissing("prompt");
  }
  if (prompt->is_string()) {
    return prompt->get<std::string>();
  }
  CheckPromptList(*prompt);
  return prompt->dump();
}

/// Fields of which only the type is looked at, and where they belong.
struct TypedField
{
  std::string_view name;
  JsonTypes types;
  bool chat_only = false;
};

constexpr std::array kTypedFields = {
  TypedField{ "audio", kJsonObject, true },
  TypedField{ "echo", kJsonBool },
  TypedField{ "function_call", kJsonString | kJsonObject, true },
  TypedField{ "functions", kJsonArray, true },
  TypedField{ "logit_bias", kJsonObject },
  TypedField{ "metadata", kJsonObject },
  TypedField{ "modalities", kJsonArray, true },
  TypedField{ "parallel_tool_calls", kJsonBool, true },
  TypedField{ "prediction", kJsonObject, true },
  TypedField{ "prompt_cache_key", kJsonString },
  TypedField{ "reasoning_effort", kJsonString, true },
  TypedField{ "response_format", kJsonObject, true },
  TypedField{ "safety_identifier", kJsonString },
  TypedField{ "service_tier", kJsonString },
  TypedField{ "store", kJsonBool },
  TypedField{ "stream", kJsonBool },
  TypedField{ "stream_options", kJsonObject },
  TypedField{ "suffix", kJsonString },
  TypedField{ "tool_choice", kJsonString | kJsonObject, true },
  TypedField{ "tools", kJsonArray, true },
  TypedField{ "user", kJsonString },
  TypedField{ "verbosity", kJsonString, true },
  TypedField{ "web_search_options", kJsonObject, true },
};

void
CheckTypes(const Json& aBody, bool aIsChat)
{
  for (const TypedField& field : kTypedFields) {
    if (aIsChat || !field.chat_only) {
      CheckType(aBody, std::string(field.name), field.types);
    }
  }
}

void
CheckSampling(const Json& aBody)
{
  CheckNumber(aBody, "temperature", 0, 2);
  CheckNumber(aBody, "top_p", 0, 1);
  CheckNumber(aBody, "presence_penalty", -kMaxPenalty, kMaxPenalty);
  CheckNumber(aBody, "frequency_penalty", -kMaxPenalty, kMaxPenalty);
  CheckInteger(aBody, "n", 1, kMaxChoices);
  CheckInteger(aBody, "seed", INT64_MIN, INT64_MAX);
  CheckStop(aBody);
}

void
CheckLogprobs(const Json& aBody, bool aIsChat)
{
  if (aIsChat) {
    CheckType(aBody, "logprobs", kJsonBool);
    CheckInteger(aBody, "top_logprobs", 0, kMaxTopLogprobs);
  } else {
    CheckInteger(aBody, "logprobs", 0, kMaxTopLogprobs);
    CheckInteger(aBody, "best_of", 1, kMaxChoices);
  }
}

std::optional<std::uint32_t>
ReadMaxTokens(const Json& aBody)
{
  const auto older = CheckInteger(aBody, "max_tokens", 0, kMaxTokens);
  const auto newer =
    CheckInteger(aBody, "max_completion_tokens", 0, kMaxTokens);
  const auto chosen = newer ? newer : older;
  if (!chosen) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(*chosen);
}

bool
ReadIncludeUsage(const Json& aBody, bool aStream)
{
  const Json* options = Find(aBody, "stream_options");
  if (options == nullptr) {
    return false;
  }
  if (!aStream) {
    throw FieldError{
      "stream_options",
      "The 'stream_options' parameter is only allowed when 'stream' is enabled",
      "invalid_value"
    };
  }
  const Json* include = Find(*options, "include_usage");
  if (include != nullptr && !include->is_boolean()) {
    FailType("stream_options.include_usage", "a boolean", *include);
  }
  return include != nullptr && include->get<bool>();
}

/// Fields that no target writes into the prompt. Any other one might be, so
/// that a context is taken for the same only if all of those are equal.
constexpr std::array<std::string_view, 27> kOutsidePrompt = {
  "best_of",
  "echo",
  "frequency_penalty",
  "logit_bias",
  "logprobs",
  "max_completion_tokens",
  "max_tokens",
  "messages",
  "metadata",
  "min_p",
  "model",
  "n",
  "parallel_tool_calls",
  "presence_penalty",
  "prompt",
  "prompt_cache_key",
  "safety_identifier",
  "seed",
  "service_tier",
  "stop",
  "store",
  "stream",
  "stream_options",
  "temperature",
  "top_logprobs",
  "top_p",
  "user",
};

std::string
FormOf(const Json& aBody, bool aIsChat)
{
  Json form = Json::object();
  for (const auto& [name, value] : aBody.items()) {
    if (!std::ranges::binary_search(kOutsidePrompt, std::string_view(name)) &&
        !value.is_null()) {
      form[name] = value;
    }
  }
  if (!aIsChat) {
    // A prompt of text and one of tokens may look the same when written.
    form["prompt"] = aBody.at("prompt").is_string() ? "text" : "list";
  }
  return form.empty() ? std::string() : form.dump();
}

CompletionRequest
Read(std::string_view aPath, Json aBody)
{
  CompletionRequest request;
  request.model = core::ModelId(ReadModel(aBody));
  const bool chat = aPath == kChatPath;
  request.prompt = chat ? ReadMessages(aBody) : ReadPrompt(aBody);
  CheckTypes(aBody, chat);
  CheckSampling(aBody);
  CheckLogprobs(aBody, chat);
  request.max_tokens = ReadMaxTokens(aBody);
  const Json* stream = Find(aBody, "stream");
  request.stream = stream != nullptr && stream->get<bool>();
  request.include_usage = ReadIncludeUsage(aBody, request.stream);
  // The field is between this system and its targets.
  aBody.erase("jujubehead");
  request.prompt_form = FormOf(aBody, chat);
  request.body = std::move(aBody);
  return request;
}

} // namespace

std::variant<CompletionRequest, ApiError>
ParseCompletion(std::string_view aPath, std::string_view aBody)
{
  if (NestsDeeperThan(aBody)) {
    return ErrorFor("", "The JSON body of your request is nested too deep");
  }
  Json body = Json::parse(aBody, nullptr, false);
  if (body.is_discarded()) {
    return ErrorFor("", "We could not parse the JSON body of your request");
  }
  if (!body.is_object()) {
    return ErrorFor("", "The JSON body of a request must be an object");
  }
  try {
    return Read(aPath, std::move(body));
  } catch (const FieldError& error) {
    return ErrorFor(error.field, error.message, error.code);
  } catch (const Json::exception& error) {
    return ErrorFor("", error.what());
  }
}

} // namespace jujubehead::net

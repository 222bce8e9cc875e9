#include "jujubehead/net/openai_request.hpp"

#include <algorithm> // for binary_search
#include <array>     // for array
#include <utility>   // for move

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

/// Thrown inside this file only; the caller gets an ApiError.
struct FieldError
{
  std::string field;
  std::string message;
};

ApiError
ErrorFor(const std::string& aField, std::string aMessage)
{
  ApiError error;
  error.status = 400;
  error.message = std::move(aMessage);
  error.type = "invalid_request_error";
  error.param = aField;
  error.code = "invalid_value";
  error.run_state = RunState::kNotRun;
  return error;
}

[[noreturn]] void
Fail(const std::string& aField, const std::string& aExpected)
{
  throw FieldError{ aField, "Invalid '" + aField + "': expected " + aExpected };
}

/// @return the field, or null when it is absent or null.
const Json*
Find(const Json& aBody, const std::string& aField)
{
  const auto found = aBody.find(aField);
  return found == aBody.end() || found->is_null() ? nullptr : &*found;
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
  const bool fits = value->is_number() && value->get<double>() >= aLeast &&
                    value->get<double>() <= aMost;
  if (!fits) {
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
  // A number above the signed range would wrap when read as signed.
  const bool fits =
    value->is_number_integer() &&
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

bool
CheckBool(const Json& aBody, const std::string& aField)
{
  const Json* value = Find(aBody, aField);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    Fail(aField, "a boolean");
  }
  return value->get<bool>();
}

void
CheckString(const Json& aBody, const std::string& aField)
{
  const Json* value = Find(aBody, aField);
  if (value != nullptr && !value->is_string()) {
    Fail(aField, "a string");
  }
}

void
CheckObject(const Json& aBody, const std::string& aField)
{
  const Json* value = Find(aBody, aField);
  if (value != nullptr && !value->is_object()) {
    Fail(aField, "an object");
  }
}

void
CheckArray(const Json& aBody, const std::string& aField)
{
  const Json* value = Find(aBody, aField);
  if (value != nullptr && !value->is_array()) {
    Fail(aField, "an array");
  }
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
    throw FieldError{ "model", "you must provide a model parameter" };
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
    throw FieldError{ "messages", "Missing required parameter: 'messages'" };
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

std::string
ReadPrompt(const Json& aBody)
{
  const Json* prompt = Find(aBody, "prompt");
  if (prompt == nullptr) {
    throw FieldError{ "prompt", "Missing required parameter: 'prompt'" };
  }
  if (prompt->is_string()) {
    return prompt->get<std::string>();
  }
  if (!prompt->is_array() || prompt->empty()) {
    Fail("prompt", "a string or a non-empty array");
  }
  return prompt->dump();
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
  CheckObject(aBody, "logit_bias");
  CheckString(aBody, "user");
  CheckStop(aBody);
}

void
CheckChatOnly(const Json& aBody)
{
  CheckBool(aBody, "logprobs");
  CheckInteger(aBody, "top_logprobs", 0, kMaxTopLogprobs);
  CheckArray(aBody, "tools");
  CheckObject(aBody, "response_format");
  CheckBool(aBody, "parallel_tool_calls");
}

void
CheckTextOnly(const Json& aBody)
{
  CheckInteger(aBody, "logprobs", 0, kMaxTopLogprobs);
  CheckBool(aBody, "echo");
  CheckString(aBody, "suffix");
  CheckInteger(aBody, "best_of", 1, kMaxChoices);
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
  CheckObject(aBody, "stream_options");
  if (!aStream) {
    throw FieldError{
      "stream_options",
      "The 'stream_options' parameter is only allowed when 'stream' is enabled"
    };
  }
  const Json* include = Find(*options, "include_usage");
  if (include != nullptr && !include->is_boolean()) {
    Fail("stream_options.include_usage", "a boolean");
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
  CheckSampling(aBody);
  if (chat) {
    CheckChatOnly(aBody);
  } else {
    CheckTextOnly(aBody);
  }
  request.max_tokens = ReadMaxTokens(aBody);
  request.stream = CheckBool(aBody, "stream");
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
    return ErrorFor(error.field, error.message);
  } catch (const Json::exception& error) {
    return ErrorFor("", error.what());
  }
}

} // namespace jujubehead::net

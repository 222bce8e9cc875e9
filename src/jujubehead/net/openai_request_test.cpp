#include "jujubehead/net/openai_request.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::net;

namespace {

constexpr std::string_view kChat = "/v1/chat/completions";
constexpr std::string_view kText = "/v1/completions";

CompletionRequest
Accepted(std::string_view aPath, std::string_view aBody)
{
  auto parsed = ParseCompletion(aPath, aBody);
  if (const auto* error = std::get_if<ApiError>(&parsed)) {
    FAIL(error->message.c_str());
  }
  return std::get<CompletionRequest>(std::move(parsed));
}

std::string
FaultyField(std::string_view aPath, std::string_view aBody)
{
  const auto parsed = ParseCompletion(aPath, aBody);
  const auto* error = std::get_if<ApiError>(&parsed);
  if (error == nullptr) {
    return "accepted";
  }
  UNSIGNED_LONGS_EQUAL(400, error->status);
  CHECK(error->run_state == RunState::kNotRun);
  return error->param;
}

std::string
Chat(const std::string& aRest)
{
  return R"({"model":"m","messages":[{"role":"user","content":"hi"}])" + aRest +
         "}";
}

} // namespace

TEST_GROUP(OpenAiRequest){};

TEST(OpenAiRequest, KeepsFieldsThatItDoesNotKnow)
{
  const auto request =
    Accepted(kChat, Chat(R"(,"stream":true,"new_field":{"x":1})"));
  CHECK(request.stream);
  LONGS_EQUAL(1, request.body["new_field"]["x"].get<int>());
}

TEST(OpenAiRequest, ALongerConversationBeginsWithTheShorterOne)
{
  const auto first = Accepted(kChat, Chat(""));
  const auto second = Accepted(
    kChat,
    R"({"model":"m","messages":[{"role":"user","content":"hi"},{"role":"assistant","content":"yes"}]})");
  CHECK(second.prompt.starts_with(first.prompt));
}

TEST(OpenAiRequest, WhatMayChangeThePromptsTokensIsPartOfItsForm)
{
  const auto form = [](const std::string& aRest) {
    return Accepted(kChat, Chat(aRest)).prompt_form;
  };
  CHECK(form("").empty());
  CHECK(form(R"(,"temperature":1,"seed":3,"user":"u","tools":null)").empty());
  const std::string tools = form(R"(,"tools":[{"type":"function"}])");
  CHECK(!tools.empty());
  CHECK(tools != form(R"(,"tools":[{"type":"other"}])"));
  CHECK(!form(R"(,"some_template_option":true)").empty());
}

TEST(OpenAiRequest, APromptOfTextIsNotOneOfTokensThatLooksTheSame)
{
  const auto text = Accepted(kText, R"({"model":"m","prompt":"[1,2]"})");
  const auto list = Accepted(kText, R"({"model":"m","prompt":[1,2]})");
  STRCMP_EQUAL(text.prompt.c_str(), list.prompt.c_str());
  CHECK(text.prompt_form != list.prompt_form);
}

TEST(OpenAiRequest, NamesTheFieldAtFault)
{
  STRCMP_EQUAL("model", FaultyField(kText, R"({"prompt":"x"})").c_str());
  STRCMP_EQUAL("prompt", FaultyField(kText, R"({"model":"m"})").c_str());
  STRCMP_EQUAL("messages", FaultyField(kChat, R"({"model":"m"})").c_str());
  STRCMP_EQUAL(
    "messages[0].role",
    FaultyField(kChat, R"({"model":"m","messages":[{"content":"x"}]})")
      .c_str());
  STRCMP_EQUAL("temperature",
               FaultyField(kChat, Chat(R"(,"temperature":3)")).c_str());
  STRCMP_EQUAL("max_tokens",
               FaultyField(kChat, Chat(R"(,"max_tokens":-1)")).c_str());
  STRCMP_EQUAL(
    "max_tokens",
    FaultyField(kChat, Chat(R"(,"max_tokens":18446744073709551615)")).c_str());
  STRCMP_EQUAL("stop", FaultyField(kChat, Chat(R"(,"stop":[1])")).c_str());
  STRCMP_EQUAL("stream", FaultyField(kChat, Chat(R"(,"stream":"y")")).c_str());
  STRCMP_EQUAL(
    "stream_options",
    FaultyField(kChat, Chat(R"(,"stream_options":{"include_usage":true})"))
      .c_str());
}

TEST(OpenAiRequest, ChecksTheTypeOfEveryFieldThatTheApiHas)
{
  for (const std::string field : { "audio",
                                   "function_call",
                                   "functions",
                                   "logit_bias",
                                   "metadata",
                                   "modalities",
                                   "prediction",
                                   "response_format",
                                   "tool_choice",
                                   "tools",
                                   "user",
                                   "verbosity",
                                   "stream",
                                   "stream_options",
                                   "parallel_tool_calls",
                                   "store",
                                   "service_tier",
                                   "reasoning_effort",
                                   "top_logprobs",
                                   "logprobs",
                                   "web_search_options" }) {
    STRCMP_EQUAL(field.c_str(),
                 FaultyField(kChat, Chat(",\"" + field + "\":1.5")).c_str());
    Accepted(kChat, Chat(",\"" + field + "\":null"));
  }
}

TEST(OpenAiRequest, TellsKindsOfFaultsApart)
{
  const auto code = [](const std::string& aRest) {
    return std::get<ApiError>(ParseCompletion(kChat, Chat(aRest))).code;
  };
  STRCMP_EQUAL("invalid_type", code(R"(,"temperature":"hot")").c_str());
  STRCMP_EQUAL("invalid_value", code(R"(,"temperature":3)").c_str());
  const auto missing = ParseCompletion(kChat, R"({"model":"m"})");
  STRCMP_EQUAL("missing_required_parameter",
               std::get<ApiError>(missing).code.c_str());
}

TEST(OpenAiRequest, TakesPromptsOfEachForm)
{
  for (const std::string prompt :
       { R"("a")", R"(["a","b"])", "[1,2]", "[[1],[2,3]]" }) {
    Accepted(kText, R"({"model":"m","prompt":)" + prompt + "}");
  }
  for (const std::string prompt :
       { "1", "{}", "[]", "[-1]", R"([1,"a"])", "[[]]", "[null]" }) {
    STRCMP_EQUAL(
      "prompt",
      FaultyField(kText, R"({"model":"m","prompt":)" + prompt + "}").c_str());
  }
}

TEST(OpenAiRequest, WhatIsNoObjectIsRefused)
{
  STRCMP_EQUAL("", FaultyField(kChat, "{").c_str());
  STRCMP_EQUAL("", FaultyField(kChat, "[]").c_str());
}

TEST(OpenAiRequest, DeepNestingIsRefused)
{
  constexpr std::size_t kDepth = 1000000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  STRCMP_EQUAL("", FaultyField(kChat, Chat(R"(,"x":)" + deep)).c_str());
}

TEST(OpenAiRequest, TheFieldForTargetsCannotBeGivenByACaller)
{
  const auto request = Accepted(kChat, Chat(R"(,"jujubehead":{"fencing":9})"));
  CHECK_FALSE(request.body.contains("jujubehead"));
}

TEST(OpenAiRequest, AnyBytesGiveARequestOrAnError)
{
  CHECK(rc::check("fuzz", [](const std::string& aBytes, bool aChat) {
    const auto parsed = ParseCompletion(aChat ? kChat : kText, aBytes);
    RC_ASSERT(std::holds_alternative<ApiError>(parsed));
  }));
}

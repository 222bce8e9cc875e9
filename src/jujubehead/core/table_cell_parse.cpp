#include "table_cell.hpp"

#include <charconv> // for from_chars
#include <cmath>    // for isfinite

#include "jujubehead/core/account_key.hpp" // for IsKeyHash
#include "jujubehead/core/name_rule.hpp"   // for IsName, IsModelName

namespace jujubehead::core::detail {
namespace {

constexpr std::uint32_t kMaxWeight = 1'000'000;
constexpr std::uint32_t kMaxRequests = 100'000;
constexpr std::int32_t kMaxPriority = 1000;
constexpr std::int64_t kMaxDeadlineMs = 86'400'000;
constexpr double kMaxPrice = 1'000'000;

using Expected = std::optional<std::string>;

Expected
ParseAccount(AccountId& aCell, std::string_view aText)
{
  if (aText != kModelDefaultsAccount && !IsName(aText)) {
    return "'*' or " + NameRule();
  }
  aCell = AccountId(std::string(aText));
  return std::nullopt;
}

Expected
ParseModel(ModelId& aCell, std::string_view aText)
{
  if (!IsModelName(aText)) {
    return ModelNameRule();
  }
  aCell = ModelId(std::string(aText));
  return std::nullopt;
}

Expected
ParseName(std::string& aCell, std::string_view aText)
{
  if (!IsModelName(aText)) {
    return ModelNameRule();
  }
  aCell = aText;
  return std::nullopt;
}

Expected
ParseAdapter(std::string& aCell, std::string_view aText)
{
  if (aText == kNoAdapter) {
    aCell.clear();
    return std::nullopt;
  }
  return ParseName(aCell, aText);
}

template<typename Number>
Expected
ParseNumber(Number& aCell, std::string_view aText, Number aMin, Number aMax)
{
  Number number{};
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || stop != end || number < aMin || number > aMax) {
    return "a whole number from " + std::to_string(aMin) + " to " +
           std::to_string(aMax);
  }
  aCell = number;
  return std::nullopt;
}

Expected
ParseDeadline(Duration& aCell, std::string_view aText)
{
  std::int64_t ms = 0;
  Expected expected = ParseNumber(ms, aText, std::int64_t{ 1 }, kMaxDeadlineMs);
  if (!expected) {
    aCell = std::chrono::milliseconds(ms);
  }
  return expected;
}

Expected
ParsePrice(double& aCell, std::string_view aText)
{
  double price = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] =
    std::from_chars(aText.data(), end, price, std::chars_format::fixed);
  if (error != std::errc() || stop != end || !std::isfinite(price) ||
      price < 0 || price > kMaxPrice) {
    return "a number from 0 to 1000000, such as 250 or 0.5";
  }
  aCell = price;
  return std::nullopt;
}

Expected
ParseKeyHash(std::string& aCell, std::string_view aText)
{
  if (!IsKeyHash(aText)) {
    return "'h1.<salt>.<hash>' as `jujubehead key ACCOUNT` prints it";
  }
  aCell = aText;
  return std::nullopt;
}

Expected
ParseValue(TableRow& aRow, TableColumn aColumn, std::string_view aText)
{
  switch (aColumn) {
    case TableColumn::kAccount:
      return ParseAccount(aRow.account, aText);
    case TableColumn::kModel:
      return ParseModel(aRow.model, aText);
    case TableColumn::kVersion:
      return ParseName(aRow.version, aText);
    case TableColumn::kAdapter:
      return ParseAdapter(aRow.adapter, aText);
    case TableColumn::kWeight:
      return ParseNumber(aRow.weight, aText, 1U, kMaxWeight);
    case TableColumn::kMaxRunning:
      return ParseNumber(aRow.max_running, aText, 0U, kMaxRequests);
    case TableColumn::kMaxWaiting:
      return ParseNumber(aRow.max_waiting, aText, 0U, kMaxRequests);
    case TableColumn::kPriority:
      return ParseNumber(aRow.priority, aText, -kMaxPriority, kMaxPriority);
    case TableColumn::kDeadline:
      return ParseDeadline(aRow.deadline, aText);
    case TableColumn::kRecomputePrice:
      return ParsePrice(aRow.recompute_price, aText);
    case TableColumn::kKeyHash:
      return ParseKeyHash(aRow.key_hash, aText);
  }
  return std::nullopt;
}

} // namespace

std::optional<std::string>
ParseCell(TableRow& aRow, TableColumn aColumn, std::string_view aText)
{
  const auto bit = 1U << static_cast<unsigned>(aColumn);
  const bool is_key =
    aColumn == TableColumn::kAccount || aColumn == TableColumn::kModel;
  if (aText.empty() && !is_key) {
    aRow.inherited = static_cast<std::uint16_t>(aRow.inherited | bit);
    return std::nullopt;
  }
  aRow.inherited = static_cast<std::uint16_t>(aRow.inherited & ~bit);
  return ParseValue(aRow, aColumn, aText);
}

} // namespace jujubehead::core::detail

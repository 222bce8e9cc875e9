#include "settings_check.hpp"

#include <algorithm> // for none_of
#include <array>     // for array
#include <charconv>  // for from_chars
#include <fstream>   // for ifstream
#include <sstream>   // for istringstream, ostringstream
#include <utility>   // for move

#include <boost/asio/ip/address.hpp> // for make_address

#include "jujubehead/core/name_rule.hpp" // for IsName

namespace jujubehead::app {
namespace {

constexpr std::uint32_t kMaxPort = 65535;
constexpr std::size_t kMinSecretLetters = 16;

bool
IsAddress(const std::string& aText)
{
  boost::system::error_code error;
  boost::asio::ip::make_address(aText, error);
  return !error;
}

bool
IsPort(std::string_view aText)
{
  std::uint32_t port = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, port);
  return error == std::errc() && stop == end && port >= 1 && port <= kMaxPort;
}

/// @return the address without the brackets of an IPv6 number.
std::string
WithoutBrackets(const std::string& aText)
{
  const bool has_brackets =
    aText.size() > 2 && aText.front() == '[' && aText.back() == ']';
  return has_brackets ? aText.substr(1, aText.size() - 2) : aText;
}

bool
IsAuthority(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  return colon != std::string::npos &&
         IsAddress(WithoutBrackets(aText.substr(0, colon))) &&
         IsPort(std::string_view(aText).substr(colon + 1));
}

std::string
WithoutLineEnd(std::string aText)
{
  while (!aText.empty() && (aText.back() == '\n' || aText.back() == '\r')) {
    aText.pop_back();
  }
  return aText;
}

} // namespace

SettingsCheck::SettingsCheck(const Arguments& aArguments)
  : m_arguments(aArguments)
{
}

void
SettingsCheck::Add(std::string_view aFlag,
                   std::string aMessage,
                   std::string aExpected)
{
  m_findings.push_back(
    { m_arguments.PlaceOf(aFlag), std::move(aMessage), std::move(aExpected) });
}

void
SettingsCheck::AddArgument(std::string aMessage, std::string aExpected)
{
  m_findings.push_back({ core::Place{ "arguments", 0, 0 },
                         std::move(aMessage),
                         std::move(aExpected) });
}

std::string
SettingsCheck::Required(std::string_view aFlag, const std::string& aValue)
{
  if (aValue.empty()) {
    Add(aFlag, "not set", "the flag or " + VariableOfFlag(aFlag));
  }
  return aValue;
}

std::string
SettingsCheck::Name(std::string_view aFlag, const std::string& aValue)
{
  if (!aValue.empty() && !core::IsName(aValue)) {
    Add(aFlag, "'" + aValue + "'", core::NameRule());
  }
  return Required(aFlag, aValue);
}

std::string
SettingsCheck::Address(std::string_view aFlag, const std::string& aValue)
{
  if (!IsAddress(aValue)) {
    Add(aFlag, "'" + aValue + "'", "an IP number such as 127.0.0.1");
  }
  return aValue;
}

std::uint16_t
SettingsCheck::Port(std::string_view aFlag, std::uint32_t aValue)
{
  return static_cast<std::uint16_t>(Range(aFlag, aValue, 0, kMaxPort));
}

std::string
SettingsCheck::Authority(std::string_view aFlag,
                         const std::string& aValue,
                         bool aRequired)
{
  if (!aValue.empty() && !IsAuthority(aValue)) {
    Add(aFlag,
        "'" + aValue + "'",
        "an IP number and a port such as 127.0.0.1:7000");
  }
  return aRequired ? Required(aFlag, aValue) : aValue;
}

std::vector<std::string>
SettingsCheck::Authorities(std::string_view aFlag, const std::string& aValue)
{
  std::vector<std::string> authorities;
  std::istringstream list(aValue);
  std::string one;
  while (std::getline(list, one, ',')) {
    authorities.push_back(Authority(aFlag, one, true));
  }
  return authorities;
}

core::DataCentreRegions
SettingsCheck::Regions(std::string_view aFlag, const std::string& aValue)
{
  core::DataCentreRegions regions;
  std::istringstream list(aValue);
  std::string one;
  while (std::getline(list, one, ',')) {
    const std::size_t equals = one.find('=');
    if (equals == 0 || equals == std::string::npos ||
        equals + 1 == one.size()) {
      Add(aFlag, "'" + one + "'", "DATA_CENTRE=REGION");
      continue;
    }
    const bool is_new =
      regions
        .emplace(one.substr(0, equals), core::RegionId(one.substr(equals + 1)))
        .second;
    if (!is_new) {
      Add(aFlag, "'" + one + "'", "one region for each data centre");
    }
  }
  return regions;
}

std::uint32_t
SettingsCheck::Range(std::string_view aFlag,
                     std::uint32_t aValue,
                     std::uint32_t aMin,
                     std::uint32_t aMax)
{
  if (aValue < aMin || aValue > aMax) {
    Add(aFlag,
        "'" + std::to_string(aValue) + "'",
        "a whole number from " + std::to_string(aMin) + " to " +
          std::to_string(aMax));
  }
  return aValue;
}

double
SettingsCheck::Share(std::string_view aFlag, double aValue, double aMost)
{
  if (!(aValue >= 0 && aValue <= aMost)) {
    std::ostringstream range;
    range << "a number from 0 to " << aMost;
    Add(aFlag, "'" + std::to_string(aValue) + "'", range.str());
  }
  return aValue;
}

double
SettingsCheck::NotNegative(std::string_view aFlag, double aValue)
{
  if (!(aValue >= 0)) {
    Add(aFlag, "'" + std::to_string(aValue) + "'", "a number from 0");
  }
  return aValue;
}

std::string
SettingsCheck::Secret(std::string_view aFlag,
                      const std::string& aValue,
                      std::string_view aFileFlag,
                      const std::string& aFile)
{
  if (aFile.empty()) {
    return LongEnough(aFlag, Required(aFlag, aValue));
  }
  if (!aValue.empty()) {
    Add(aFlag, "set beside --" + std::string(aFileFlag), "only one of the two");
  }
  std::ifstream file(aFile);
  std::ostringstream text;
  if (!(text << file.rdbuf())) {
    Add(aFileFlag, "'" + aFile + "' cannot be read", "a file with the secret");
    return {};
  }
  return LongEnough(aFileFlag, WithoutLineEnd(text.str()));
}

std::shared_ptr<net::TlsCredentials>
SettingsCheck::Tls(const TlsFlags& aFlags)
{
  const std::array flags{ &aFlags.certificate, &aFlags.key, &aFlags.authority };
  const auto is_set = [](const FlagValue* aFlag) {
    return !aFlag->value.empty();
  };
  if (std::ranges::none_of(flags, is_set)) {
    return nullptr;
  }
  bool complete = true;
  for (const FlagValue* flag : flags) {
    if (!flag->flag.empty() && flag->value.empty()) {
      complete = false;
      Add(flag->flag, "not set", "a PEM file, as the flags beside it are set");
    }
  }
  if (!complete) {
    return nullptr;
  }
  auto loaded = net::TlsCredentials::Load(
    { aFlags.certificate.value, aFlags.key.value, aFlags.authority.value });
  if (loaded) {
    return *loaded;
  }
  const core::Findings found = loaded.error();
  m_findings.insert(m_findings.end(), found.begin(), found.end());
  return nullptr;
}

std::string
SettingsCheck::LongEnough(std::string_view aFlag, const std::string& aValue)
{
  if (!aValue.empty() && aValue.size() < kMinSecretLetters) {
    Add(aFlag,
        "the secret has " + std::to_string(aValue.size()) + " letters",
        "at least " + std::to_string(kMinSecretLetters));
  }
  return aValue;
}

std::string
SettingsCheck::ReadableFile(std::string_view aFlag, const std::string& aValue)
{
  if (!aValue.empty() && !std::ifstream(aValue)) {
    Add(aFlag, "'" + aValue + "' cannot be read", "a readable file");
  }
  return aValue;
}

} // namespace jujubehead::app

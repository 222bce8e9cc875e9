#ifndef JUJUBEHEAD_APP_SETTINGS_CHECK_HPP
#define JUJUBEHEAD_APP_SETTINGS_CHECK_HPP

#include <cstdint>     // for uint16_t, uint32_t
#include <memory>      // for shared_ptr
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "command.hpp"                 // for PlatformOptions, InstancesOptions
#include "flags.hpp"                   // for Arguments
#include "jujubehead/core/finding.hpp" // for Findings
#include "jujubehead/core/routing/homes.hpp" // for DataCentreRegions
#include "jujubehead/net/tls.hpp"            // for TlsCredentials

namespace jujubehead::app {

/// @brief A flag and its value.
struct FlagValue
{
  std::string_view flag;
  std::string value;
};

/// @brief The flags that name files of TLS; one without a name is not there.
struct TlsFlags
{
  FlagValue certificate;
  FlagValue key;
  FlagValue authority;
};

/// @brief Checks flag values one by one and gathers what is wrong.
class SettingsCheck
{
public:
  explicit SettingsCheck(const Arguments& aArguments);

  /// @return the value, which has to be there.
  std::string Required(std::string_view aFlag, const std::string& aValue);
  /// @return the value, which has to be the name of something.
  std::string Name(std::string_view aFlag, const std::string& aValue);
  std::string Address(std::string_view aFlag, const std::string& aValue);
  std::uint16_t Port(std::string_view aFlag, std::uint32_t aValue);
  std::string Authority(std::string_view aFlag,
                        const std::string& aValue,
                        bool aRequired);
  std::vector<std::string> Authorities(std::string_view aFlag,
                                       const std::string& aValue);
  /// @return the region of each data centre, from
  /// `DATA_CENTRE=REGION,DATA_CENTRE=REGION`.
  core::DataCentreRegions Regions(std::string_view aFlag,
                                  const std::string& aValue);
  std::uint32_t Range(std::string_view aFlag,
                      std::uint32_t aValue,
                      std::uint32_t aMin,
                      std::uint32_t aMax);
  /// @return the value, which has to be from 0 to 1.
  double Share(std::string_view aFlag, double aValue, double aMost = 1);
  /// @return the value, which has to be 0 or more.
  double NotNegative(std::string_view aFlag, double aValue);
  /// @return the secret, from its flag or from the file that another names.
  std::string Secret(std::string_view aFlag,
                     const std::string& aValue,
                     std::string_view aFileFlag,
                     const std::string& aFile);
  /// @return the credentials; null when no flag is set. Flags that have a name
  /// are set all or none.
  std::shared_ptr<net::TlsCredentials> Tls(const TlsFlags& aFlags);
  std::string LongEnough(std::string_view aFlag, const std::string& aValue);
  std::string ReadableFile(std::string_view aFlag, const std::string& aValue);

  void Add(std::string_view aFlag, std::string aMessage, std::string aExpected);

  /// @brief Adds a finding about something that is no flag.
  void AddArgument(std::string aMessage, std::string aExpected);

  [[nodiscard]] const core::Findings& Found() const { return m_findings; }

private:
  const Arguments& m_arguments;
  core::Findings m_findings;
};

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_SETTINGS_CHECK_HPP

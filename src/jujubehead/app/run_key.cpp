#include "run.hpp"

#include <ostream> // for ostream

#include "jujubehead/core/account_key.hpp" // for HashKey
#include "jujubehead/net/random_text.hpp"  // for RandomText

namespace jujubehead::app {
namespace {

constexpr std::size_t kSecretBytes = 24;
constexpr std::size_t kSaltBytes = 8;

} // namespace

ExitCode
RunKey(const KeyCommand& aCommand, Tools& aTools)
{
  const std::string secret = net::RandomText(kSecretBytes);
  aTools.out << "key=" << aCommand.account << '.' << secret << '\n'
             << "key_hash="
             << core::HashKey(secret, net::RandomText(kSaltBytes)) << '\n';
  return ExitCode::kDone;
}

} // namespace jujubehead::app

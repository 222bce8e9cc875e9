#ifndef JUJUBEHEAD_STANDIN_TABLE_MODEL_HPP
#define JUJUBEHEAD_STANDIN_TABLE_MODEL_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint64_t
#include <deque>   // for deque
#include <map>     // for map
#include <string>  // for string
#include <utility> // for pair

#include <nlohmann/json.hpp> // for json

#include "standin/event_log.hpp" // for EpochMs

namespace jujubehead::standin {

/// @brief Limits of the table service; 0 means none.
struct TableOptions
{
  double writes_per_second = 0; ///< Items written.
  double reads_per_second = 0;  ///< Calls.
};

/// @brief A status and the JSON body that goes with it.
struct TableReply
{
  unsigned status = 200;
  nlohmann::json body;
};

/// @brief The transactional table service without its sockets.
class TableModel
{
public:
  explicit TableModel(TableOptions aOptions);

  /// @param aOperation the part of `X-Amz-Target` after the dot.
  TableReply Call(const std::string& aOperation,
                  const nlohmann::json& aBody,
                  EpochMs aNow);
  [[nodiscard]] nlohmann::json Stats() const;

private:
  using Key = std::pair<std::string, std::string>;
  struct Remembered
  {
    EpochMs at = 0;
    nlohmann::json items;
    TableReply reply;
  };
  struct Bucket
  {
    double per_second = 0;
    double tokens = 0;
    EpochMs at = 0;
  };

  TableReply GetItem(const nlohmann::json& aBody, EpochMs aNow);
  TableReply Query(const nlohmann::json& aBody, EpochMs aNow);
  TableReply Transact(const nlohmann::json& aBody, EpochMs aNow);
  TableReply TransactOnce(const nlohmann::json& aItems, EpochMs aNow);
  [[nodiscard]] bool Holds(const nlohmann::json& aAction,
                           const Key& aKey) const;
  void Write(const std::string& aKind,
             const nlohmann::json& aAction,
             const Key& aKey);
  void ForgetOldTokens(EpochMs aNow);
  static bool Take(Bucket& aBucket, double aAmount, EpochMs aNow);

  std::map<Key, nlohmann::json> m_items;
  std::map<std::string, Remembered> m_tokens;
  std::deque<std::pair<EpochMs, std::string>> m_token_order;
  Bucket m_writes;
  Bucket m_reads;
  std::uint64_t m_read_calls = 0;
  std::uint64_t m_write_calls = 0;
  std::uint64_t m_items_written = 0;
  std::uint64_t m_conditions_failed = 0;
  std::uint64_t m_throttled = 0;
  std::uint64_t m_repeated = 0;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_TABLE_MODEL_HPP

#ifndef JUJUBEHEAD_BENCH_PATH_LOAD_HPP
#define JUJUBEHEAD_BENCH_PATH_LOAD_HPP

#include <chrono>  // for milliseconds
#include <cstddef> // for size_t
#include <cstdint> // for uint64_t
#include <memory>  // for unique_ptr
#include <string>  // for string
#include <vector>  // for vector

namespace jujubehead::bench {

/// @brief A closed loop: each stream sends its next request after its answer
/// and a pause. Pauses are drawn evenly up to twice their mean, so that streams
/// do not fall into step with the engines' batches.
struct LoadOptions
{
  std::vector<std::string> authorities; ///< Streams go round them.
  std::string key;                      ///< Bearer key; may be empty.
  std::string model;
  std::size_t streams = 1; ///< Requests open at once.
  std::size_t threads = 2;
  std::size_t prompt_bytes = 400;
  std::size_t max_tokens = 32;
  bool stream = true;
  std::chrono::milliseconds time{ 5000 };
  std::chrono::microseconds mean_pause{ 0 };
};

/// @brief What a load met.
struct LoadResult
{
  std::vector<double> first_token_ms;
  std::vector<double> between_tokens_ms;
  std::uint64_t requests = 0; ///< Answered whole.
  std::uint64_t tokens = 0;
  std::uint64_t failures = 0;
  std::string first_failure;
  double seconds = 0;

  void Add(LoadResult aOther);
};

/// @brief Sends load from threads of its own until the time is over.
[[nodiscard]] LoadResult
RunLoad(const LoadOptions& aOptions);

/// @return the value below which a share of the samples lie; 0 without any.
[[nodiscard]] double
Quantile(std::vector<double> aSamples, double aShare);

/// @brief Streams that are opened and then left to run.
class OpenStreams
{
public:
  /// @brief Opens them and returns once each has its first token.
  explicit OpenStreams(const LoadOptions& aOptions);
  OpenStreams(const OpenStreams&) = delete;
  OpenStreams& operator=(const OpenStreams&) = delete;
  OpenStreams(OpenStreams&&) = delete;
  OpenStreams& operator=(OpenStreams&&) = delete;
  ~OpenStreams();

  /// @return streams that got a first token.
  [[nodiscard]] std::size_t Count() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_PATH_LOAD_HPP

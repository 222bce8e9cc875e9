#ifndef JUJUBEHEAD_NET_HTTP_MESSAGE_HPP
#define JUJUBEHEAD_NET_HTTP_MESSAGE_HPP

#include <cstddef>     // for size_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

namespace jujubehead::net {

/// @brief One header line.
struct HttpHeader
{
  std::string name;
  std::string value;
};

/// @brief Header lines in their order; names compare without case.
class HttpHeaders
{
public:
  HttpHeaders() = default;

  /// @brief Adds a line, keeping earlier ones of that name.
  void Add(std::string_view aName, std::string_view aValue);
  /// @return the first value under that name.
  [[nodiscard]] std::optional<std::string_view> Find(
    std::string_view aName) const;
  [[nodiscard]] const std::vector<HttpHeader>& Lines() const { return m_lines; }
  /// @return bytes of the names and values.
  [[nodiscard]] std::size_t TextBytes() const;
  /// @return bytes of memory that the lines take.
  [[nodiscard]] std::size_t HeldBytes() const;

private:
  std::vector<HttpHeader> m_lines;
};

/// @brief A request as read, with its whole body.
struct HttpRequest
{
  std::string method; ///< In upper case.
  std::string target; ///< Path and query, as sent.
  HttpHeaders headers;
  std::string body;

  /// @return the target without its query.
  [[nodiscard]] std::string_view Path() const;
  /// @return a parameter of the query, percent-decoded.
  [[nodiscard]] std::optional<std::string> Query(std::string_view aName) const;
};

/// @brief A reply with its whole body.
struct HttpResponse
{
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP_MESSAGE_HPP

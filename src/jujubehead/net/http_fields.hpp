#ifndef JUJUBEHEAD_NET_HTTP_FIELDS_HPP
#define JUJUBEHEAD_NET_HTTP_FIELDS_HPP

#include <boost/beast/http/fields.hpp> // for fields

#include "jujubehead/net/http_message.hpp" // for HttpHeaders

namespace jujubehead::net {

/// @return our header lines of Beast's fields.
HttpHeaders
FromFields(const boost::beast::http::fields& aFields);

/// @brief Appends header lines as text, but for those that describe the framing
/// and the connection, which the sender writes itself. A line whose name or
/// value could end the line early is left out.
void
AppendLines(std::string& aText, const HttpHeaders& aHeaders);

/// @brief Appends one header line as text.
void
AppendLine(std::string& aText, std::string_view aName, std::string_view aValue);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP_FIELDS_HPP

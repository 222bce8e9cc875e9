#ifndef JUJUBEHEAD_NODE_MODELS_PAGE_HPP
#define JUJUBEHEAD_NODE_MODELS_PAGE_HPP

#include <string_view> // for string_view

#include "jujubehead/net/http_message.hpp" // for HttpResponse
#include "jujubehead/node/caller.hpp"      // for Caller

namespace jujubehead::node {

/// @brief `GET /v1/models` and `GET /v1/models/{id}`: the models of which the
/// caller's account has a row.
net::HttpResponse
ModelsPage(const Caller& aCaller, std::string_view aPath);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_MODELS_PAGE_HPP

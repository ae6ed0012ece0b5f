#include "proxy/upstream/forwarded_response.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include "proxy/load_report.hpp"
#include "proxy/upstream/response_classification.hpp"

namespace gateway::proxy {
namespace {

namespace http = boost::beast::http;

bool IsUsedByGateway(const HeaderField& field) {
  return field.name() == http::field::content_length ||
         boost::beast::iequals(field.name_string(), kLoadReportField) ||
         boost::beast::iequals(field.name_string(), kDeclinedField);
}

bool IsForwardedLine(const HeaderField& field) {
  return !IsHopByHop(field.name()) && !IsUsedByGateway(field);
}

}  // namespace

HttpResponse MakeForwardedResponse(const HttpResponse::header_type& head) {
  HttpResponse response;
  response.version(head.version());
  response.result(head.result_int());
  response.reason(head.reason());
  std::size_t line_bytes = 0;
  for (const HeaderField& field : head) line_bytes += IsForwardedLine(field) ? HeaderLineBytes(field) : 0;
  response.forwarded_lines.reserve(line_bytes);
  for (const HeaderField& field : head) {
    if (IsUsedByGateway(field)) response.insert(field.name(), field.name_string(), field.value());
    if (IsForwardedLine(field)) AppendHeaderLine(response.forwarded_lines, field);
  }
  return response;
}

}  // namespace gateway::proxy

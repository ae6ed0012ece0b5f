// The log of every program: one record a line on standard error, for people or for machines.
#ifndef GATEWAY_BASE_LOG_HPP_
#define GATEWAY_BASE_LOG_HPP_

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace gateway::base {

enum class Level { kInfo, kWarning, kError };
enum class LogForm {
  kText,  // "2026-12-01T09:30:00.123Z info sockets: hosts 7 ...": the record's words as the pages name them
  kJson   // an object a line: time, level, part, event, text, and the named fields
};

struct LogField {
  LogField(std::string_view name, std::string_view text) : name(name), value(text) {}
  template <typename Number>
  requires std::integral<Number> || std::floating_point<Number> LogField(std::string_view name, Number number)
      : name(name), value(std::to_string(number)), is_number(true) {}
  std::string_view name;
  std::string value;
  bool is_number = false;
};

// For the whole process; text at the start.
void SetLogForm(LogForm form);

// Writes one record by one call, at once, in the caller's thread; blocks only where standard error does.
// Limits on how often are the caller's. `part` and `event` are fixed words; `text` says it all to a person,
// with no line end. Where `text` holds "name number" pairs, as the lines of counts do, these become fields
// too.
void Log(Level level, std::string_view part, std::string_view event, std::string_view text,
         std::initializer_list<LogField> fields = {});

// One record without its line end, at the given Unix time in ms.
std::string FormatRecord(LogForm form, double time, Level level, std::string_view part,
                         std::string_view event, std::string_view text,
                         std::initializer_list<LogField> fields = {});

}  // namespace gateway::base

#endif  // GATEWAY_BASE_LOG_HPP_

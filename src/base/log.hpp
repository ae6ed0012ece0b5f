// The log of all programs: one record per line on standard error, as text or as JSON.
#ifndef GATEWAY_BASE_LOG_HPP_
#define GATEWAY_BASE_LOG_HPP_

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace gateway::base {

enum class Level { kInfo, kWarning, kError };
enum class LogFormat {
  kText,  // "2026-12-01T09:30:00.123Z info sockets: hosts 7 ..."
  kJson   // an object with the keys time, level, part, event, text and the fields of the record
};

// A named value of a record: a number or a string.
struct LogField {
  LogField(std::string_view name, std::string_view text) : name(name), value(text) {}
  template <typename Number>
  requires std::integral<Number> || std::floating_point<Number> LogField(std::string_view name, Number number)
      : name(name), value(std::to_string(number)), is_number(true) {}
  std::string_view name;
  std::string value;
  bool is_number = false;
};

// Sets the format of all later records of the process. The default is kText. Must be called before a second
// thread logs.
void SetLogFormat(LogFormat format);

// Writes one record with one system call in the calling thread, which blocks only if standard error blocks.
// Does not limit the rate of records; callers must. `part` names the component of the program and `event` the
// kind of record; both are fixed words. `text` describes the event completely for a human reader, without a
// line feed. If `event` is "counts", the "name number" pairs of `text` also become fields of the JSON record.
// A record that can't be written is dropped.
void Log(Level level, std::string_view part, std::string_view event, std::string_view text,
         std::initializer_list<LogField> fields = {});

// Returns one record without a line feed. `unix_ms` is its Unix time in ms.
std::string FormatRecord(LogFormat format, double unix_ms, Level level, std::string_view part,
                         std::string_view event, std::string_view text,
                         std::initializer_list<LogField> fields = {});

}  // namespace gateway::base

#endif  // GATEWAY_BASE_LOG_HPP_

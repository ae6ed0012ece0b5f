#include "base/log.hpp"

#include <unistd.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

#include "base/clock.hpp"

namespace gateway::base {
namespace {

using nlohmann::ordered_json;

LogFormat log_format = LogFormat::kText;  // format of all records of the process

const char* LevelName(Level level) {
  return level == Level::kInfo ? "info" : level == Level::kWarning ? "warning" : "error";
}

std::string Timestamp(double unix_ms) {
  const double full_seconds = std::floor(unix_ms / 1000);
  const auto seconds = static_cast<std::time_t>(full_seconds);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[64];
  std::snprintf(text, sizeof text, "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ", utc.tm_year + 1900, utc.tm_mon + 1,
                utc.tm_mday, utc.tm_hour, utc.tm_min, utc.tm_sec,
                static_cast<int>(unix_ms - full_seconds * 1000));
  return text;
}

bool ParseNumber(std::string_view word, double& number) {
  const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), number);
  return error == std::errc() && end == word.data() + word.size() && std::isfinite(number);
}

// Adds the "name number" pairs of a summary line as fields. A word without a number, such as "reset" in
// "hosts 7 | reset new 1 reused 2", becomes a prefix of the names up to the next '|': reset_new.
void AddNumberFields(std::string_view text, ordered_json& record) {
  std::string name;
  std::string prefix;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(' '), text.size());
    const std::string_view word = text.substr(0, end);
    text.remove_prefix(std::min(text.size(), end + 1));
    double number = 0;
    if (word == "|") {
      name.clear();
      prefix.clear();
    } else if (!name.empty() && ParseNumber(word, number)) {
      const std::string key = prefix + name;
      if (!record.contains(key)) record[key] = number;
      name.clear();
    } else {
      if (!name.empty()) prefix = name + "_";
      name = word;
    }
  }
}

}  // namespace

void SetLogFormat(LogFormat format) { log_format = format; }

std::string FormatRecord(LogFormat format, double unix_ms, Level level, std::string_view part,
                         std::string_view event, std::string_view text,
                         std::initializer_list<LogField> fields) {
  if (format == LogFormat::kText)
    return Timestamp(unix_ms) + ' ' + LevelName(level) + ' ' + std::string(text);
  ordered_json record = {{"time", Timestamp(unix_ms)},
                         {"level", LevelName(level)},
                         {"part", part},
                         {"event", event},
                         {"text", text}};
  for (const LogField& field : fields) {
    double number = 0;
    if (field.is_number && ParseNumber(field.value, number)) {
      record[std::string(field.name)] = number;
    } else {
      record[std::string(field.name)] = field.value;
    }
  }
  if (event == "counts") AddNumberFields(text.substr(std::min(text.size(), text.find(": ") + 2)), record);
  // Texts received from peers may contain invalid UTF-8, which JSON does not allow. Invalid bytes are
  // replaced.
  return record.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

void Log(Level level, std::string_view part, std::string_view event, std::string_view text,
         std::initializer_list<LogField> fields) {
  std::string line = FormatRecord(log_format, UnixNow(), level, part, event, text, fields);
  for (char& c : line) {
    if (c == '\n' || c == '\r') c = ' ';  // texts received from peers must not start a new record
  }
  line += '\n';
  const auto written = ::write(STDERR_FILENO, line.data(), line.size());
  static_cast<void>(written);  // the program continues if a record can't be written
}

}  // namespace gateway::base

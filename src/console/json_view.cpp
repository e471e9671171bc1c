#include "console/json_view.hpp"

#include <cmath>

#include "console/table.hpp"

namespace curlewdoor::console {

JsonView JsonView::operator[](const char* name) const {
  return JsonView(json_ != nullptr ? cJSON_GetObjectItemCaseSensitive(json_, name) : nullptr);
}

std::string JsonView::Text() const {
  if (!present()) return "-";
  if (cJSON_IsString(json_)) return json_->valuestring;
  if (cJSON_IsBool(json_)) return cJSON_IsTrue(json_) ? "yes" : "no";
  return cJSON_IsNumber(json_) ? NumberText(json_->valuedouble) : "?";
}

std::string JsonView::Tenths() const {
  if (json_ == nullptr || !cJSON_IsNumber(json_)) return Text();
  return NumberText(std::round(json_->valuedouble * 10) / 10);
}

}  // namespace curlewdoor::console

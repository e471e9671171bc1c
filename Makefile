# Build, test, lint and run. `.ci/run` calls these too.
BUILD ?= build
JOBS ?= 4
# Compiling alone; tests stay at JOBS, as those with clients beside them want processors.
BUILD_JOBS ?= $(JOBS)
# Such as -DCURLEWDOOR_STRICT=ON.
CMAKE_FLAGS ?=

.PHONY: build kit test lint tidy run rehearse

build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release $(CMAKE_FLAGS)
	cmake --build $(BUILD) -j$(BUILD_JOBS)

kit:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release -DCURLEWDOOR_KIT=ON $(CMAKE_FLAGS)
	cmake --build $(BUILD) -j$(BUILD_JOBS) --target curlewdoor curlewdoor-kit

# A match night with three real gateways on loopback: about 37 s, five verdicts and a page with plots.
rehearse: kit
	$(BUILD)/curlewdoor-kit rehearse rehearsals/match-night.toml --sockets --report $(BUILD)/match-night.html

test:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release -DCURLEWDOOR_TESTS=ON -DCURLEWDOOR_KIT=ON -DCURLEWDOOR_SYSTEM=ON \
	  $(CMAKE_FLAGS)
	cmake --build $(BUILD) -j$(BUILD_JOBS)
	tests/known_red.sh $(BUILD) $(JOBS)

lint:
	git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run -Werror
	tests/check_module.sh
	tests/check_lengths.sh

# clang-tidy over the whole gateway; nothing is built for it.
tidy:
	cmake -B build-tidy -DCMAKE_BUILD_TYPE=Release -DCURLEWDOOR_SYSTEM=ON
	tests/tidy.sh build-tidy

run: build
	$(BUILD)/curlewdoor serve $(if $(CONFIG),--config $(CONFIG))

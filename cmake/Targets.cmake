# Settings that every target of the project shares.
add_library(coriander_settings INTERFACE)
target_include_directories(coriander_settings INTERFACE ${PROJECT_SOURCE_DIR}/include)
target_compile_options(coriander_settings INTERFACE -Wall -Wextra -Werror -Wno-missing-field-initializers)
# cpprestsdk defines a macro named U, which breaks the fmt 9 headers.
target_compile_definitions(
    coriander_settings INTERFACE _TURN_OFF_PLATFORM_STRING CORIANDER_VERSION="${PROJECT_VERSION}")
target_link_libraries(coriander_settings INTERFACE Threads::Threads)
if(CORIANDER_SANITIZE)
    target_compile_options(coriander_settings INTERFACE -fsanitize=${CORIANDER_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(coriander_settings INTERFACE -fsanitize=${CORIANDER_SANITIZE})
endif()

# coriander_library(NAME [libraries...]) builds lib/<NAME>/*.cpp as the static library coriander<NAME>.
function(coriander_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/lib/${name}/*.cpp)
    if(NOT sources)
        add_library(coriander${name} INTERFACE)
        target_link_libraries(coriander${name} INTERFACE coriander_settings ${ARGN})
        return()
    endif()
    add_library(coriander${name} STATIC ${sources})
    target_link_libraries(coriander${name} PUBLIC coriander_settings ${ARGN})
endfunction()

# coriander_tool(NAME [libraries...]) builds tools/<NAME>/*.cpp as the program NAME.
function(coriander_tool name)
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tools/${name}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARGN} Boost::program_options)
endfunction()

# coriander_test(NAME [libraries...]) builds unittests/<NAME>/*.cpp as the program test-<NAME>. Its tests get the properties
# in CORIANDER_TEST_PROPERTIES.
function(coriander_test name)
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/unittests/${name}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(test-${name} ${sources})
    target_link_libraries(test-${name} PRIVATE ${ARGN} GTest::gtest GTest::gtest_main)
    target_include_directories(test-${name} PRIVATE ${PROJECT_SOURCE_DIR}/unittests)
    target_compile_definitions(test-${name} PRIVATE CORIANDER_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    gtest_discover_tests(test-${name} DISCOVERY_TIMEOUT 60 PROPERTIES ${CORIANDER_TEST_PROPERTIES})
endfunction()

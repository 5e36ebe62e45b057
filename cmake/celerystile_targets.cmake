# Settings of all targets, and the functions that define packages and programs.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
find_package(Threads REQUIRED)

# easylogging++ is distributed as a source file that its users compile.
find_file(EASYLOGGINGPP_SOURCE easylogging++.cc PATHS /usr/include REQUIRED)
add_library(easyloggingpp STATIC ${EASYLOGGINGPP_SOURCE})
set_source_files_properties(${EASYLOGGINGPP_SOURCE} PROPERTIES LANGUAGE CXX)
target_compile_definitions(easyloggingpp PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING)

function(celerystile_settings target)
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/include)
    target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_compile_definitions(${target} PUBLIC BOOST_ASIO_NO_DEPRECATED BOOST_BEAST_USE_STD_STRING_VIEW)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic)
endfunction()

# Adds a static library with the headers of include/celerystile/NAME and the sources of src/celerystile/NAME.
function(add_package name)
    cmake_parse_arguments(PACKAGE "" "" "SOURCES;LIBRARIES" ${ARGN})
    list(TRANSFORM PACKAGE_SOURCES PREPEND ${PROJECT_SOURCE_DIR}/src/celerystile/${name}/)
    add_library(celerystile_${name} STATIC ${PACKAGE_SOURCES})
    celerystile_settings(celerystile_${name})
    target_link_libraries(celerystile_${name} PUBLIC ${PACKAGE_LIBRARIES} Threads::Threads)
endfunction()

# Adds an executable; its sources are given relative to the root of the project.
function(add_program name)
    cmake_parse_arguments(PROGRAM "" "" "SOURCES;LIBRARIES" ${ARGN})
    add_executable(${name} ${PROGRAM_SOURCES})
    celerystile_settings(${name})
    target_link_libraries(${name} PRIVATE ${PROGRAM_LIBRARIES})
endfunction()

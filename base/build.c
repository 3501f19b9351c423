/* The build that a program belongs to.  The Makefile compiles this file again
   once the name changes.  */

#include "base/build.h"

/* Return the revision that this program is built from; "unknown" if that could
   not be told, with "-changed" behind it if its sources differ.  */
const char *
jc_build_name (void)
{
  return JC_BUILD_NAME;
}

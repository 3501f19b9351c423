/* The build that a program belongs to.  */

#ifndef JC_BUILD_H
#define JC_BUILD_H

const char *jc_build_name (void);

#endif

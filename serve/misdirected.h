/* Misdirected requests: endpoints at whose address another process answered
   that it isn't the one meant.  That shows who was there at that moment and
   holds until later evidence names the endpoint at its address again; then a
   single request tries it.  */

#ifndef JC_MISDIRECTED_H
#define JC_MISDIRECTED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct jc_misdirected;

struct jc_misdirected *jc_misdirected_new (void);
void jc_misdirected_free (struct jc_misdirected *misdirected);
unsigned int jc_misdirected_count (const struct jc_misdirected *misdirected);
void jc_misdirected_list (const struct jc_misdirected *misdirected,
                          GPtrArray *names);
void jc_misdirected_note (struct jc_misdirected *misdirected,
                          const char *endpoint, uint64_t incarnation,
                          int64_t now_ms);
bool jc_misdirected_may_send (const struct jc_misdirected *misdirected,
                              const char *endpoint, uint64_t incarnation,
                              int64_t now_ms);
void jc_misdirected_note_send (struct jc_misdirected *misdirected,
                               const char *endpoint, uint64_t incarnation,
                               int64_t now_ms);
bool jc_misdirected_note_answer (struct jc_misdirected *misdirected,
                                 const char *endpoint, uint64_t incarnation);
bool jc_misdirected_must_ask (struct jc_misdirected *misdirected,
                              const char *endpoint, uint64_t incarnation,
                              int64_t now_ms);
bool jc_misdirected_note_named (struct jc_misdirected *misdirected,
                                const char *endpoint, uint64_t incarnation,
                                int64_t heard_ms, int64_t now_ms);
bool jc_misdirected_note_report (struct jc_misdirected *misdirected,
                                 const char *endpoint, uint64_t incarnation,
                                 int64_t reported_ms, int64_t now_ms);
void jc_misdirected_expire (struct jc_misdirected *misdirected, int64_t now_ms);

#endif

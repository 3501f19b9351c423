/* A state instance: what its tasks share.  */

#ifndef STATE_H
#define STATE_H

#include <ev.h>

#include "conf/config.h"
#include "net/httpd.h"
#include "net/rpc.h"

/* Everything of the process.  */
struct state
{
  struct ev_loop *loop;
  const struct jc_state_settings *settings;
  struct jc_rpc *rpc;
  struct jc_config *config;
  json_t *answers;
  GPtrArray *followers;
};

enum jc_status store_load (struct state *state);
enum jc_status store_save (const struct state *state,
                           const struct jc_config *config,
                           const json_t *answers);
void submit_handle (struct state *state, struct jc_rpc_conn *conn,
                    const struct rpc_packet *packet);
void followers_add (struct state *state, struct jc_rpc_conn *conn,
                    const struct rpc_packet *packet);
void followers_remove (struct state *state, struct jc_rpc_conn *conn);
void followers_push (struct state *state);

#endif

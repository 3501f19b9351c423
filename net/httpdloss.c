/* HTTP server: log lines about requests that were read whole and get no whole
   answer.  */

#include "base/event.h"
#include "base/status.h"
#include "net/httpdprivate.h"

static const char *
reason_name (enum httpd_close_reason reason)
{
  static const char *const names[] = {
    [HTTPD_ANSWERED] = "answered",       [HTTPD_PEER_CLOSED] = "peer_closed",
    [HTTPD_READ_FAILED] = "read_failed", [HTTPD_WRITE_FAILED] = "write_failed",
    [HTTPD_TIMED_OUT] = "timed_out",     [HTTPD_STOPPED] = "stopped",
    [HTTPD_CROWDED] = "crowded",         [HTTPD_PEER_SILENT] = "peer_silent"
  };

  return names[reason];
}

/* Return the id of REQ as log lines have it, "-" if it has none.  */
static const char *
req_id (const struct jc_http_req *req)
{
  const char *id = req->httpd->id_header != NULL
                       ? jc_head_field (&req->head, req->httpd->id_header)
                       : NULL;

  return id != NULL ? id : "-";
}

static void
log_req (const struct jc_http_req *req, const char *reason, const char *message)
{
  jc_event (JC_EVENT_UNANSWERED,
            "id=%.40s method=%s path=%.80s phase=%s why=%s unsent=%zu "
            "message=\"%.100s\"",
            req_id (req), req->head.method, req->path,
            req->phase == REQ_STREAMING ? "streaming" : "owned", reason,
            req->conn->out->len - req->conn->out_pos, message);
}

/* Return whether the input of CONN begins with a whole head that nothing was
   done with.  */
static bool
has_waiting_request (const struct httpd_conn *conn)
{
  size_t scanned = 0;

  return conn->req == NULL && !conn->rejected
         && jc_head_find_end (jc_str_from_gstring (conn->in), &scanned) > 0;
}

/* Log the requests of CONN, which is about to close for REASON, that were read
   whole and get no whole answer: the current one, a later one that waits in
   the buffer, and one whose answer is not written yet.  */
void
httpd_loss_log_close (const struct httpd_conn *conn,
                      enum httpd_close_reason reason)
{
  const struct jc_http_req *req = conn->req;
  size_t unsent = conn->out->len - conn->out_pos;

  if (req != NULL && (req->phase == REQ_OWNED || req->phase == REQ_STREAMING))
    log_req (req, reason_name (reason), "");
  else if (has_waiting_request (conn) || unsent > 0)
    jc_event (JC_EVENT_UNANSWERED,
              "id=- method=- path=- phase=%s why=%s unsent=%zu message=\"\"",
              unsent > 0 ? "answered" : "waiting", reason_name (reason),
              unsent);
}

/* Log that the stream of REQ ends before its end; the last message says
   why.  */
void
httpd_loss_log_cut (const struct jc_http_req *req)
{
  log_req (req, "cut", jc_last_message ());
}

/* Log that REQ is refused before it was read whole: all buffers together take
   too much.  */
void
httpd_loss_log_no_room (const struct jc_http_req *req)
{
  jc_event (JC_EVENT_REFUSED,
            "id=%.40s method=%s path=%.80s outcome=%s body=%zu buffered=%zu",
            req_id (req), req->head.method, req->head.target,
            jc_status_name (JC_OVERLOADED), req->body->len,
            jc_buffers_total ());
}

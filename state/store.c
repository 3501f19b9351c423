/* The configuration in the data folder.  */

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "state/state.h"

static char *
store_path (const struct state *state, const char *name)
{
  return g_strconcat (state->settings->data_folder, "/", name, NULL);
}

/* Read the configuration of the data folder; without one it is empty.  */
enum jc_status
store_load (struct state *state)
{
  char *path = store_path (state, "config.json");
  json_t *json = json_load_file (path, 0, NULL);
  GPtrArray *faults;
  bool exists = access (path, F_OK) == 0;

  g_free (path);
  if (mkdir (state->settings->data_folder, 0700) != 0 && errno != EEXIST)
    return jc_fail (JC_STORAGE_FAILED, "Can't make the data folder: %s.",
                    strerror (errno));
  if (exists && json == NULL)
    return jc_fail (JC_CORRUPT, "The configuration on disk can't be read.");
  if (json == NULL)
    {
      state->config = jc_config_empty ();
      state->answers = json_object ();
    }
  else
    {
      json_t *version = json_object_get (json, "version");

      faults = g_ptr_array_new_with_free_func (g_free);
      state->config = jc_config_from_json (
          json_object_get (json, "objects"),
          (uint64_t)json_integer_value (version), faults);
      state->answers = json_incref (json_object_get (json, "answers"));
      g_ptr_array_free (faults, TRUE);
    }
  json_decref (json);
  if (state->config == NULL)
    return jc_fail (JC_CORRUPT, "The configuration on disk is not valid.");
  return JC_OK;
}

static enum jc_status
sync_folder (const char *folder)
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool ok = fd >= 0 && fsync (fd) == 0;

  if (fd >= 0)
    close (fd);
  if (!ok)
    return jc_fail (JC_STORAGE_FAILED, "Can't sync %s.", folder);
  return JC_OK;
}

/* Make CONFIG and ANSWERS durable.  */
enum jc_status
store_save (const struct state *state, const struct jc_config *config,
            const json_t *answers)
{
  char *path = store_path (state, "config.json");
  char *draft = store_path (state, "config.json.new");
  json_t *json
      = json_pack ("{s:I,s:O,s:O}", "version", (json_int_t)config->version,
                   "objects", config->json, "answers", answers);
  char *text = json_dumps (json, JSON_COMPACT);
  size_t len = strlen (text);
  int fd = open (draft, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  bool ok = fd >= 0 && write (fd, text, len) == (ssize_t)len && fsync (fd) == 0;

  if (fd >= 0)
    close (fd);
  ok = ok && rename (draft, path) == 0;
  free (text);
  json_decref (json);
  g_free (path);
  g_free (draft);
  if (!ok)
    return jc_fail (JC_STORAGE_FAILED, "Can't write the configuration: %s.",
                    strerror (errno));
  return sync_folder (state->settings->data_folder);
}

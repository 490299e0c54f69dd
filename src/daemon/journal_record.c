#include "journal_record.h"

#include "../base/err.h"
#include "../sys/clock.h"

int
rec_write(struct shard *s, enum journal_when when, const Cc__Rec *rec,
    journal_fn fn, void *arg)
{
	if (ledger_apply(&s->ledger, rec) == NULL)
		return CC_EINVAL;
	journal_append(&s->journal, when, rec, fn, arg);
	return CC_OK;
}

int
rec_site(struct member *m, struct shard *home, uint32_t shard, uint64_t epoch,
    journal_fn fn, void *arg)
{
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecSite r = CC__REC_SITE__INIT;

	r.id = m->entry->id;
	r.member = m->index;
	r.shard = shard;
	r.shard_epoch = epoch;
	rec.body_case = CC__REC__BODY_SITE;
	rec.site = &r;
	return rec_write(home, JOURNAL_NOW, &rec, fn, arg);
}

int
rec_start(struct member *m, struct shard *home, const char *worker)
{
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecStart r = CC__REC_START__INIT;

	r.id = m->entry->id;
	r.member = m->index;
	r.worker = (char *)worker;
	r.wall_ms = clock_wall_ms();
	rec.body_case = CC__REC__BODY_START;
	rec.start = &r;
	return rec_write(home, JOURNAL_LAZY, &rec, NULL, NULL);
}

int
rec_requeue(struct member *m, struct shard *home, bool maybe_ran, journal_fn fn,
    void *arg)
{
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecRequeue r = CC__REC_REQUEUE__INIT;

	r.id = m->entry->id;
	r.member = m->index;
	r.maybe_ran = maybe_ran;
	rec.body_case = CC__REC__BODY_REQUEUE;
	rec.requeue = &r;
	return rec_write(home, JOURNAL_LAZY, &rec, fn, arg);
}

int
rec_cancel(struct entry *e, struct shard *home, journal_fn fn, void *arg)
{
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecCancel r = CC__REC_CANCEL__INIT;

	r.id = e->id;
	rec.body_case = CC__REC__BODY_CANCEL;
	rec.cancel = &r;
	return rec_write(home, JOURNAL_NOW, &rec, fn, arg);
}

int
rec_member_end(struct member *m, struct shard *home, uint64_t run_ms,
    int status, journal_fn fn, void *arg)
{
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecMemberEnd r = CC__REC_MEMBER_END__INIT;

	r.id = m->entry->id;
	r.member = m->index;
	r.run_ms = run_ms;
	r.status = status;
	rec.body_case = CC__REC__BODY_MEMBER_END;
	rec.member_end = &r;
	return rec_write(home, JOURNAL_SOON, &rec, fn, arg);
}

int
rec_end(struct entry *e, struct shard *home, const struct rec_end *end,
    journal_fn fn, void *arg)
{
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecEnd r = CC__REC_END__INIT;

	r.id = e->id;
	r.outcome = end->outcome;
	r.reason = (char *)(end->reason != NULL ? end->reason : "");
	r.wall_ms = clock_wall_ms();
	r.run_ms = end->run_ms;
	r.status = end->status;
	r.content_type =
	    (char *)(end->content_type != NULL ? end->content_type : "");
	if (end->answer_len <= ANSWER_KEEP_MAX) {
		r.answer.data = (uint8_t *)end->answer;
		r.answer.len = end->answer_len;
	}
	rec.body_case = CC__REC__BODY_END;
	rec.end = &r;
	return rec_write(
	    home, e->routed ? JOURNAL_NOW : JOURNAL_SOON, &rec, fn, arg);
}
